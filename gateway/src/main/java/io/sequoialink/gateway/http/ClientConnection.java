package io.sequoialink.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
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
 * A connection from a client: reads requests one after the other and writes their
 * answers. Confined to the event loop.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {

	/** Objects that may wait behind a request under way before reading pauses. */
	private static final int MAX_WAITING_OBJECTS = 64;

	/** How long a client may take to close after the last answer, in milliseconds. */
	private static final int LINGER_MILLIS = 500;

	private final Gateway gateway;

	private final FrontServer server;

	private final Deque<HttpObject> waiting = new ArrayDeque<>();

	private Channel channel;

	private HttpRequest head;

	private long headAt;

	private CompositeByteBuf body;

	private Exchange exchange;

	private boolean keepAlive = true;

	private boolean ending;

	private long lastActive = System.nanoTime();

	private long partialSince;

	ClientConnection(Gateway gateway, FrontServer server) {
		this.gateway = gateway;
		this.server = server;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.channel = context.channel();
		this.server.opened(this);
	}

	/**
	 * Notes that bytes have arrived, before they are decoded.
	 */
	void bytesArrived() {
		if (this.partialSince == 0 && this.exchange == null) {
			this.partialSince = System.nanoTime();
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.ending) {
			ReferenceCountUtil.release(message);
			return;
		}
		if (this.exchange != null) {
			this.waiting.addLast((HttpObject) message);
			pauseIfFull();
			return;
		}
		take((HttpObject) message);
	}

	private void pauseIfFull() {
		if (this.waiting.size() >= MAX_WAITING_OBJECTS) {
			this.channel.config().setAutoRead(false);
		}
	}

	private void take(HttpObject message) {
		try {
			if (message.decoderResult().isFailure()) {
				unreadable(message.decoderResult().cause());
				return;
			}
			if (message instanceof HttpRequest request) {
				begin(request);
			}
			if (message instanceof HttpContent content && this.head != null) {
				append(content);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void unreadable(Throwable cause) {
		boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
		this.keepAlive = false;
		answerOwn(tooLong ? OwnAnswer.of(431, "header too large") : OwnAnswer.of(400, "not readable as a request"),
				null);
	}

	private void begin(HttpRequest request) {
		this.head = request;
		this.headAt = System.nanoTime();
		this.lastActive = this.headAt;
		this.keepAlive = HttpUtil.isKeepAlive(request);
		this.body = this.channel.alloc().compositeBuffer(1024);
		if (HttpUtil.getContentLength(request, 0L) > bodyLimit()) {
			bodyTooLarge();
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

	private void bodyTooLarge() {
		this.keepAlive = false;
		dropBody();
		answerOwn(OwnAnswer.of(413, "body too large"), null);
	}

	private void dropBody() {
		this.head = null;
		if (this.body != null) {
			this.body.release();
			this.body = null;
		}
	}

	private void append(HttpContent content) {
		ByteBuf data = content.content();
		if (data.isReadable()) {
			this.body.addComponent(true, data.retain());
		}
		this.lastActive = System.nanoTime();
		if (this.body.readableBytes() > bodyLimit()) {
			bodyTooLarge();
			return;
		}
		if (content instanceof LastHttpContent) {
			start();
		}
	}

	private void start() {
		ClientRequest request = ClientRequest.of(this.head, this.body, this.headAt);
		this.head = null;
		this.body = null;
		this.partialSince = 0;
		this.exchange = new Exchange(this.gateway, this, request);
		this.exchange.start();
	}

	/**
	 * Writes the head of an answer whose body follows in parts.
	 * @param status status code
	 * @param headers headers of the answer; changed in place
	 */
	void answerHead(int status, HttpHeaders headers) {
		headers.remove(HttpHeaderNames.CONTENT_LENGTH);
		headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		setConnection(headers);
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status),
				headers);
		this.channel.write(response);
	}

	/**
	 * Writes a part of an answer's body.
	 * @param data the bytes; ownership passes to the connection
	 * @return whether the client reads fast enough
	 */
	boolean answerPart(ByteBuf data) {
		this.channel.writeAndFlush(new DefaultHttpContent(data));
		return this.channel.isWritable();
	}

	/**
	 * Ends an answer that was written in parts.
	 */
	void answerEnd() {
		this.channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
		finished();
	}

	/**
	 * Writes a whole answer.
	 * @param status status code
	 * @param headers headers of the answer; changed in place
	 * @param data the body; ownership passes to the connection
	 */
	void answerWhole(int status, HttpHeaders headers, ByteBuf data) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), data);
		response.headers().set(headers);
		response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
		if (!headers.contains(HttpHeaderNames.CONTENT_LENGTH) || data.isReadable()) {
			response.headers().set(HttpHeaderNames.CONTENT_LENGTH, data.readableBytes());
		}
		setConnection(response.headers());
		this.channel.writeAndFlush(response);
		finished();
	}

	/**
	 * Writes an answer of the system's own.
	 * @param answer the answer
	 * @param id identifier of the request, or {@code null} if it is not known
	 */
	void answerOwn(OwnAnswer answer, String id) {
		HttpHeaders headers = new DefaultHttpHeaders();
		headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
		answer.retryAfterSeconds().ifPresent((seconds) -> headers.set(HttpHeaderNames.RETRY_AFTER, seconds));
		if (id != null) {
			this.gateway.dialect().ownAnswer(headers, id);
		}
		ByteBuf text = Unpooled.copiedBuffer(answer.reason(), StandardCharsets.US_ASCII);
		answerWhole(answer.status(), headers, text);
	}

	private void setConnection(HttpHeaders headers) {
		if (this.server.draining()) {
			this.keepAlive = false;
		}
		if (!this.keepAlive) {
			headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
	}

	private void finished() {
		this.exchange = null;
		this.partialSince = 0;
		this.lastActive = System.nanoTime();
		if (!this.keepAlive || this.server.draining()) {
			this.ending = true;
			dropWaiting();
			this.channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener((future) -> endOutput());
			return;
		}
		this.channel.config().setAutoRead(true);
		while (this.exchange == null && !this.waiting.isEmpty() && !this.ending) {
			take(this.waiting.pollFirst());
		}
	}

	// Ends the output first, since closing with unread bytes would reset the connection
	// and the client might lose the answer.
	private void endOutput() {
		this.channel.config().setAutoRead(true);
		if (this.channel instanceof SocketChannel socket && socket.isActive()) {
			socket.shutdownOutput();
			socket.eventLoop().schedule(() -> socket.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Ends the connection at once, so that a part of an answer can't pass for a whole.
	 */
	void cut() {
		this.ending = true;
		this.exchange = null;
		this.channel.config().setOption(ChannelOption.SO_LINGER, 0);
		this.channel.close();
	}

	/**
	 * Closes the connection if it has been idle or slow for too long.
	 * @param now monotonic time in nanoseconds
	 */
	void sweep(long now) {
		if (this.exchange != null || this.ending) {
			return;
		}
		ClientLimits limits = this.server.limits();
		if (this.partialSince != 0) {
			sweepPartial(now, limits.headerTimeoutMillis(), limits.idleTimeoutMillis());
			return;
		}
		if (now - this.lastActive > limits.idleTimeoutMillis() * 1_000_000L) {
			this.channel.close();
		}
	}

	private void sweepPartial(long now, long headerMillis, long idleMillis) {
		boolean headSlow = this.head == null && now - this.partialSince > headerMillis * 1_000_000L;
		boolean bodySlow = this.head != null && now - this.lastActive > idleMillis * 1_000_000L;
		if (headSlow || bodySlow) {
			this.keepAlive = false;
			dropBody();
			answerOwn(OwnAnswer.of(408, "request too slow"), null);
		}
	}

	/**
	 * Closes the connection if no request is under way or arriving.
	 */
	void closeIfIdle() {
		if (this.exchange == null && this.partialSince == 0) {
			this.channel.close();
		}
	}

	/**
	 * Schedules work on the connection's event loop.
	 * @param work the work
	 * @param delayMillis when to do it, in milliseconds from now
	 * @return handle to cancel it
	 */
	Future<?> schedule(Runnable work, long delayMillis) {
		return this.channel.eventLoop().schedule(work, delayMillis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns whether a request is under way.
	 * @return whether an answer is owed
	 */
	boolean busy() {
		return this.exchange != null;
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (this.exchange != null) {
			this.exchange.writable(this.channel.isWritable());
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		this.channel.close();
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.ending = true;
		this.server.closed(this);
		dropBody();
		dropWaiting();
		Exchange open = this.exchange;
		this.exchange = null;
		if (open != null) {
			open.clientGone();
		}
	}

	private void dropWaiting() {
		this.waiting.forEach(ReferenceCountUtil::release);
		this.waiting.clear();
	}

}
