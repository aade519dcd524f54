package io.sequoialink.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.OptionalDouble;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
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
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.sequoialink.gateway.fleet.ClientLimits;

/**
 * A connection from a client. Reads requests one at a time and writes their responses in
 * order. Confined to the event loop.
 *
 * <p>
 * Invariants: no part of a request is decoded while another is processed, while responses
 * of more than the high-water mark of the channel are unwritten, or while there is no
 * room in {@link ConnectionMemory}. A body is not kept if its head alone is enough to
 * reject the request.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter
		implements GatedRequestDecoder.Receiver, ConnectionMemory.Holder {

	/**
	 * Time the client has to close the connection after the last response, in
	 * milliseconds.
	 */
	private static final int LINGER_MILLIS = 500;

	/**
	 * Time after which a response of which the client reads nothing is cut, as a multiple
	 * of the idle timeout: a client may pause for longer than that and read on.
	 */
	private static final int UNREAD_IDLE_TIMES = 4;

	private final GatewayContext gateway;

	private final FrontendServer server;

	private final ConnectionMemory memory;

	private final ConnectionShare share;

	private final GatedRequestDecoder decoder;

	private Channel channel;

	private HttpRequest head;

	private long headAt;

	private RequestBody body;

	private boolean bodyDiscarded;

	private boolean headRequest;

	private Exchange exchange;

	private boolean keepAlive = true;

	private boolean closing;

	private long lastActive = System.nanoTime();

	private long incompleteSince;

	private int requests;

	private int bufferedResponseBytes;

	private ByteBuf bufferedResponse = Unpooled.EMPTY_BUFFER;

	private long unwrittenSince;

	private long lastUnwrittenBytes;

	private long lastWritten;

	ClientConnection(GatewayContext gateway, FrontendServer server) {
		this.gateway = gateway;
		this.server = server;
		this.memory = gateway.responseBuffers().memory();
		this.share = new ConnectionShare(this.memory);
		this.decoder = new GatedRequestDecoder(server.limits().headerBytes(), this, this.share);
	}

	/**
	 * Returns the decoder that precedes this handler in the pipeline.
	 * @return the decoder of this connection
	 */
	GatedRequestDecoder decoder() {
		return this.decoder;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.channel = context.channel();
		this.memory.register(this);
		this.server.opened(this);
	}

	/**
	 * Records the arrival of bytes, before they are decoded.
	 * @return whether they are wanted; if not, they are of no use any more
	 */
	boolean bytesArrived() {
		if (this.incompleteSince == 0 && this.exchange == null) {
			this.incompleteSince = System.nanoTime();
		}
		return !this.closing;
	}

	// May close other connections to make room in memory.
	@Override
	public boolean takesInput() {
		return this.exchange == null && this.channel.isWritable() && this.memory.makeRoom(0, receivedBytes());
	}

	private long receivedBytes() {
		return this.share.bytes() + ((this.body != null) ? this.body.bytes() : 0);
	}

	@Override
	public boolean discardsInput() {
		return this.closing;
	}

	// The end of a connection must be noticed while its request is processed.
	@Override
	public boolean readsAhead() {
		return this.exchange != null && this.memory.hasRoom(0, this.share.bytes());
	}

	@Override
	public void inputWaits(int count) {
		this.share.setInput(count);
		if (count > 0 && this.exchange == null && this.incompleteSince == 0) {
			this.incompleteSince = System.nanoTime();
		}
	}

	// Takes input again after a response, or when output was written or memory released.
	private void resumeInput() {
		try {
			this.decoder.resume();
		}
		catch (Exception ex) {
			this.channel.close();
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.closing) {
			ReferenceCountUtil.release(message);
			return;
		}
		process((HttpObject) message);
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
		if (cause instanceof ConnectionShare.NoRoomException) {
			rejectForMemory();
			return;
		}
		this.keepAlive = false;
		sendLocalResponse(LocalResponse.ofMalformed(cause), null);
	}

	private void startRequest(HttpRequest request) {
		this.head = request;
		this.headAt = System.nanoTime();
		this.lastActive = this.headAt;
		this.keepAlive = HttpUtil.isKeepAlive(request);
		this.headRequest = HttpMethod.HEAD.equals(request.method());
		this.bodyDiscarded = false;
		this.body = new RequestBody(this.channel.alloc(), this.memory);
		long declared = HttpUtil.getContentLength(request, 0L);
		if (declared > bodyLimit()) {
			rejectLargeBody();
			return;
		}
		boolean large = declared > ConnectionMemory.SMALL_BYTES || HttpUtil.isTransferEncodingChunked(request);
		if ((declared > 0 || large) && notAdmitted(request)) {
			rejectWithoutBody(large);
			return;
		}
		boolean fits = declared <= ConnectionMemory.SMALL_BYTES || this.memory.makeRoom(declared, declared);
		if (this.closing) {
			return;
		}
		if (!fits) {
			rejectForMemory();
			return;
		}
		if (HttpUtil.is100ContinueExpected(request)) {
			this.channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
	}

	// Whether the head alone decides that the request is rejected.
	private boolean notAdmitted(HttpRequest request) {
		return this.gateway.startupGate().isOpen() && Admission
			.of(this.gateway.view().configuration(), ClientRequest.of(request, Unpooled.EMPTY_BUFFER, this.headAt),
					this.gateway.headerMapping().readRequest(request.headers()))
			.rejection()
			.isPresent();
	}

	// Discards a small body while it arrives; after a large one the connection is closed.
	private void rejectWithoutBody(boolean large) {
		this.bodyDiscarded = true;
		if (large) {
			this.keepAlive = false;
			startExchange();
		}
	}

	private void rejectForMemory() {
		this.keepAlive = false;
		releaseBody();
		this.memory.requestRejected();
		long retryMillis = LocalResponse.withJitter(ConnectionMemory.RETRY_MILLIS,
				ThreadLocalRandom.current().nextDouble());
		sendLocalResponse(LocalResponse.notRun("memory in use", retryMillis), null);
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
		this.lastActive = System.nanoTime();
		if (!this.bodyDiscarded) {
			this.body.append(content.content());
		}
		if (this.body.bytes() > bodyLimit()) {
			rejectLargeBody();
			return;
		}
		if (content instanceof LastHttpContent) {
			startExchange();
		}
	}

	private void startExchange() {
		// a new configuration may admit the request, of whose body nothing was kept
		if (this.bodyDiscarded && !notAdmitted(this.head)) {
			this.keepAlive = false;
			releaseBody();
			sendLocalResponse(LocalResponse.notRun("route changed", LocalResponse.DEFAULT_RETRY_MILLIS), null);
			return;
		}
		ClientRequest request = ClientRequest.of(this.head, this.body.take(), this.headAt);
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
		countUnwritten();
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
		int size = data.readableBytes();
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), data);
		response.headers().set(headers);
		response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
		// the length of what a GET request would get is not known
		boolean bodyless = this.headRequest && !data.isReadable();
		if (!bodyless && (!headers.contains(HttpHeaderNames.CONTENT_LENGTH) || data.isReadable())) {
			response.headers().set(HttpHeaderNames.CONTENT_LENGTH, data.readableBytes());
		}
		setConnection(response.headers());
		this.bufferedResponse = data;
		this.bufferedResponseBytes += size;
		this.channel.writeAndFlush(response).addListener((written) -> this.bufferedResponseBytes -= size);
		countUnwritten();
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
		// a body would be read as the beginning of the next response
		sendResponse(response.status(), headers, this.headRequest ? Unpooled.EMPTY_BUFFER : body);
	}

	// Buffered responses count elsewhere until they are written.
	private void countUnwritten() {
		long unwritten = unwrittenBytes();
		this.share.setOutput(Math.max(0, unwritten - this.bufferedResponseBytes));
		// a buffer counts as unwritten until it is written whole
		long left = unwritten + this.bufferedResponse.readableBytes();
		if (left != this.lastUnwrittenBytes) {
			this.lastUnwrittenBytes = left;
			this.lastWritten = System.nanoTime();
		}
		if (unwritten == 0 || this.channel.isWritable()) {
			this.unwrittenSince = 0;
		}
		else if (this.unwrittenSince == 0) {
			this.unwrittenSince = System.nanoTime();
		}
	}

	private long unwrittenBytes() {
		ChannelOutboundBuffer output = this.channel.unsafe().outboundBuffer();
		return (output != null) ? output.totalPendingWriteBytes() : 0;
	}

	@Override
	public long closableBytes() {
		if (this.closing && this.unwrittenSince == 0) {
			return 0;
		}
		if (this.unwrittenSince != 0) {
			return unwrittenBytes();
		}
		return (this.exchange != null) ? 0 : receivedBytes();
	}

	@Override
	public long heldSinceNanos() {
		if (this.unwrittenSince != 0) {
			return this.unwrittenSince;
		}
		return (this.incompleteSince != 0) ? this.incompleteSince : this.lastActive;
	}

	// A request that is being received has not run; of a response, a part may be lost.
	@Override
	public void closeForMemory() {
		if (this.unwrittenSince == 0) {
			rejectForMemory();
			return;
		}
		this.unwrittenSince = 0;
		this.closing = true;
		this.channel.config().setOption(ChannelOption.SO_LINGER, 0);
		this.channel.close();
		// Netty releases the output later; it must not count in the search for room.
		this.share.setOutput(0);
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
		this.share.clearHead();
		this.headRequest = false;
		this.incompleteSince = 0;
		this.lastActive = System.nanoTime();
		if (!this.keepAlive || this.server.draining()) {
			this.closing = true;
			this.channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener((future) -> closeGracefully());
			resumeInput();
			return;
		}
		resumeInput();
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
		countUnwritten();
		if (!this.channel.config().isAutoRead()) {
			resumeInput();
		}
		ClientLimits limits = this.server.limits();
		if (this.exchange == null && this.unwrittenSince != 0) {
			closeIfUnread(now, limits.idleTimeoutMillis());
			return;
		}
		if (this.exchange != null || this.closing) {
			return;
		}
		if (this.incompleteSince != 0) {
			rejectIfSlow(now, limits.headerTimeoutMillis(), limits.idleTimeoutMillis());
			return;
		}
		if (now - this.lastActive > limits.idleTimeoutMillis() * 1_000_000L) {
			this.channel.close();
		}
	}

	private void closeIfUnread(long now, long idleMillis) {
		if (now - this.lastWritten > UNREAD_IDLE_TIMES * idleMillis * 1_000_000L) {
			this.channel.close();
		}
	}

	private void rejectIfSlow(long now, long headerMillis, long idleMillis) {
		boolean headSlow = this.head == null && now - this.incompleteSince > headerMillis * 1_000_000L;
		boolean bodySlow = this.head != null && now - this.lastActive > idleMillis * 1_000_000L;
		if ((headSlow || bodySlow) && !this.memory.hasRoom(0, receivedBytes())) {
			rejectForMemory();
			return;
		}
		if (headSlow || bodySlow) {
			this.keepAlive = false;
			releaseBody();
			sendLocalResponse(LocalResponse.of(408, "request too slow"), null);
		}
	}

	/**
	 * Returns whether closing the connection loses no response: its request is still
	 * being received.
	 * @return whether no request is being processed and no response is unwritten
	 */
	boolean receiving() {
		return this.exchange == null && !this.closing && this.unwrittenSince == 0;
	}

	/**
	 * Returns whether no request is being processed or received and none is unanswered.
	 * @return whether the connection waits for a request
	 */
	boolean idle() {
		return this.exchange == null && this.incompleteSince == 0 && !this.closing && this.unwrittenSince == 0;
	}

	/**
	 * Returns whether the last response has been written and the client has yet to close
	 * the connection.
	 * @return whether nothing more is expected of the connection
	 */
	boolean lingers() {
		return this.closing && this.unwrittenSince == 0;
	}

	/**
	 * Closes the connection, because there are too many and this one processes nothing.
	 */
	void closeForOthers() {
		this.closing = true;
		this.channel.close();
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
		countUnwritten();
		if (this.channel.isWritable() && this.exchange == null) {
			this.channel.eventLoop().execute(this::resumeInput);
		}
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
		this.memory.unregister(this);
		releaseBody();
		this.share.close();
		Exchange open = this.exchange;
		this.exchange = null;
		if (open != null) {
			open.clientDisconnected();
		}
	}

}
