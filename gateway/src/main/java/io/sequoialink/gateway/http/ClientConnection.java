package io.sequoialink.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.sequoialink.gateway.fleet.ClientLimits;

/**
 * A connection from a client. Reads requests one at a time and writes their responses in
 * order. Confined to the event loop.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {

	/**
	 * Number of decoded objects that may be queued behind the current request; beyond it,
	 * reading from the connection pauses.
	 */
	private static final int MAX_QUEUED_OBJECTS = 64;

	/**
	 * Time the client has to close the connection after the last response, in
	 * milliseconds.
	 */
	private static final int LINGER_MILLIS = 500;

	private final GatewayContext gateway;

	private final FrontendServer server;

	private final Deque<HttpObject> queued = new ArrayDeque<>();

	private Channel channel;

	private HttpRequest head;

	private long headAt;

	private CompositeByteBuf body;

	private Exchange exchange;

	private boolean keepAlive = true;

	private boolean closing;

	private long lastActive = System.nanoTime();

	private long incompleteSince;

	private int requests;

	ClientConnection(GatewayContext gateway, FrontendServer server) {
		this.gateway = gateway;
		this.server = server;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.channel = context.channel();
		this.server.opened(this);
	}

	/**
	 * Records the arrival of bytes, before they are decoded.
	 */
	void bytesArrived() {
		if (this.incompleteSince == 0 && this.exchange == null) {
			this.incompleteSince = System.nanoTime();
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.closing) {
			ReferenceCountUtil.release(message);
			return;
		}
		if (this.exchange != null) {
			this.queued.addLast((HttpObject) message);
			pauseIfFull();
			return;
		}
		process((HttpObject) message);
	}

	private void pauseIfFull() {
		if (this.queued.size() >= MAX_QUEUED_OBJECTS) {
			this.channel.config().setAutoRead(false);
		}
	}

	private void process(HttpObject message) {
		try {
			if (message.decoderResult().isFailure()) {
				rejectMalformed(message.decoderResult().cause());
				return;
			}
			if (message instanceof HttpRequest request) {
				startRequest(request);
			}
			if (message instanceof HttpContent content && this.head != null) {
				appendBody(content);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void rejectMalformed(Throwable cause) {
		boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
		this.keepAlive = false;
		sendLocalResponse(tooLong ? LocalResponse.of(431, "header too large")
				: LocalResponse.of(400, "not readable as a request"), null);
	}

	private void startRequest(HttpRequest request) {
		this.head = request;
		this.headAt = System.nanoTime();
		this.lastActive = this.headAt;
		this.keepAlive = HttpUtil.isKeepAlive(request);
		this.body = this.channel.alloc().compositeBuffer(1024);
		if (HttpUtil.getContentLength(request, 0L) > bodyLimit()) {
			rejectLargeBody();
			return;
		}
		if (HttpUtil.is100ContinueExpected(request)) {
			this.channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
	}

	private int bodyLimit() {
		return this.server.limits().bodyBytes();
	}

	private void rejectLargeBody() {
		this.keepAlive = false;
		releaseBody();
		sendLocalResponse(LocalResponse.of(413, "body too large"), null);
	}

	private void releaseBody() {
		this.head = null;
		if (this.body != null) {
			this.body.release();
			this.body = null;
		}
	}

	private void appendBody(HttpContent content) {
		ByteBuf data = content.content();
		if (data.isReadable()) {
			this.body.addComponent(true, data.retain());
		}
		this.lastActive = System.nanoTime();
		if (this.body.readableBytes() > bodyLimit()) {
			rejectLargeBody();
			return;
		}
		if (content instanceof LastHttpContent) {
			startExchange();
		}
	}

	private void startExchange() {
		ClientRequest request = ClientRequest.of(this.head, this.body, this.headAt);
		this.head = null;
		this.body = null;
		this.incompleteSince = 0;
		this.requests++;
		this.exchange = new Exchange(this.gateway, this, request);
		this.exchange.start();
	}

	/**
	 * Writes the head of a chunked response.
	 * @param status status code
	 * @param headers headers of the response; changed in place
	 */
	void sendHead(int status, HttpHeaders headers) {
		headers.remove(HttpHeaderNames.CONTENT_LENGTH);
		headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		setConnection(headers);
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status),
				headers);
		this.channel.write(response);
	}

	/**
	 * Writes a chunk of a response's body.
	 * @param data the bytes; ownership passes to the connection
	 * @return whether the connection is still writable; if not, the caller should stop
	 * reading from the backend server
	 */
	boolean sendChunk(ByteBuf data) {
		this.channel.writeAndFlush(new DefaultHttpContent(data));
		return this.channel.isWritable();
	}

	/**
	 * Ends a chunked response.
	 */
	void endResponse() {
		this.channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
		responseSent();
	}

	/**
	 * Writes a complete response.
	 * @param status status code
	 * @param headers headers of the response; changed in place
	 * @param data the body; ownership passes to the connection
	 */
	void sendResponse(int status, HttpHeaders headers, ByteBuf data) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), data);
		response.headers().set(headers);
		response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
		if (!headers.contains(HttpHeaderNames.CONTENT_LENGTH) || data.isReadable()) {
			response.headers().set(HttpHeaderNames.CONTENT_LENGTH, data.readableBytes());
		}
		setConnection(response.headers());
		this.channel.writeAndFlush(response);
		responseSent();
	}

	/**
	 * Writes a response that this host generates itself.
	 * @param response the response
	 * @param id identifier of the request, or {@code null} if it is not known
	 */
	void sendLocalResponse(LocalResponse response, String id) {
		HttpHeaders headers = new DefaultHttpHeaders();
		headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
		response.retryAfterSeconds().ifPresent((seconds) -> headers.set(HttpHeaderNames.RETRY_AFTER, seconds));
		if (id != null) {
			this.gateway.headerMapping().writeLocalResponse(headers, id);
		}
		ByteBuf body = Unpooled.copiedBuffer(response.reason(), StandardCharsets.US_ASCII);
		sendResponse(response.status(), headers, body);
	}

	private void setConnection(HttpHeaders headers) {
		if (this.server.draining()) {
			this.keepAlive = false;
		}
		if (!this.keepAlive) {
			headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
	}

	private void responseSent() {
		this.exchange = null;
		this.incompleteSince = 0;
		this.lastActive = System.nanoTime();
		if (!this.keepAlive || this.server.draining()) {
			this.closing = true;
			releaseQueued();
			this.channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener((future) -> closeGracefully());
			return;
		}
		this.channel.config().setAutoRead(true);
		while (this.exchange == null && !this.queued.isEmpty() && !this.closing) {
			process(this.queued.pollFirst());
		}
	}

	// Shuts down only the output at first. Closing the socket with unread input would
	// reset the connection, and the client might lose the response.
	private void closeGracefully() {
		this.channel.config().setAutoRead(true);
		if (this.channel instanceof SocketChannel socket && socket.isActive()) {
			socket.shutdownOutput();
			socket.eventLoop().schedule(() -> socket.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Resets the connection, so that the client cannot take a truncated response for a
	 * complete one.
	 */
	void abort() {
		this.closing = true;
		this.exchange = null;
		this.channel.config().setOption(ChannelOption.SO_LINGER, 0);
		this.channel.close();
	}

	/**
	 * Closes the connection if it has been idle, or its request has been arriving too
	 * slowly, for longer than the limits allow.
	 * @param now monotonic time in nanoseconds
	 */
	void closeIfTimedOut(long now) {
		if (this.exchange != null || this.closing) {
			return;
		}
		ClientLimits limits = this.server.limits();
		if (this.incompleteSince != 0) {
			rejectIfSlow(now, limits.headerTimeoutMillis(), limits.idleTimeoutMillis());
			return;
		}
		if (now - this.lastActive > limits.idleTimeoutMillis() * 1_000_000L) {
			this.channel.close();
		}
	}

	private void rejectIfSlow(long now, long headerMillis, long idleMillis) {
		boolean headSlow = this.head == null && now - this.incompleteSince > headerMillis * 1_000_000L;
		boolean bodySlow = this.head != null && now - this.lastActive > idleMillis * 1_000_000L;
		if (headSlow || bodySlow) {
			this.keepAlive = false;
			releaseBody();
			sendLocalResponse(LocalResponse.of(408, "request too slow"), null);
		}
	}

	/**
	 * Closes the connection if no request is being processed or received.
	 */
	void closeIfIdle() {
		if (this.exchange == null && this.incompleteSince == 0) {
			this.channel.close();
		}
	}

	/**
	 * Ends the request that is being processed, because the host stops.
	 */
	void endRequest() {
		if (this.exchange != null) {
			this.exchange.hostStops();
		}
	}

	/**
	 * Returns whether the host will probably stop before a new request has ended.
	 * @param usualMillis usual duration of such requests in milliseconds, if known
	 * @return whether the request should be sent to another host
	 */
	boolean hostStopsBefore(OptionalDouble usualMillis) {
		return this.server.stopsBefore(usualMillis);
	}

	/**
	 * Schedules a task on the connection's event loop.
	 * @param work the task
	 * @param delayMillis delay in milliseconds
	 * @return handle to cancel the task
	 */
	Future<?> schedule(Runnable work, long delayMillis) {
		return this.channel.eventLoop().schedule(work, delayMillis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns how many requests have been received on this connection.
	 * @return number of complete requests
	 */
	int requests() {
		return this.requests;
	}

	/**
	 * Returns whether a request is being processed.
	 * @return whether its response is still incomplete
	 */
	boolean busy() {
		return this.exchange != null;
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (this.exchange != null) {
			this.exchange.writabilityChanged(this.channel.isWritable());
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		this.channel.close();
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.closing = true;
		this.server.closed(this);
		releaseBody();
		releaseQueued();
		Exchange open = this.exchange;
		this.exchange = null;
		if (open != null) {
			open.clientDisconnected();
		}
	}

	private void releaseQueued() {
		this.queued.forEach(ReferenceCountUtil::release);
		this.queued.clear();
	}

}
