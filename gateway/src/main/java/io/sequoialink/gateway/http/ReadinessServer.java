package io.sequoialink.gateway.http;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * HTTP server that answers the platform's readiness probe and serves plain-text pages,
 * such as the metrics. Confined to the event loop.
 */
public final class ReadinessServer {

	/**
	 * Maximum number of connections; beyond it, the oldest is closed. The platform needs
	 * a few.
	 */
	private static final int MAX_CONNECTIONS = 64;

	/** Maximum size of a request's first line and of its header section, in bytes. */
	private static final int MAX_HEADER_BYTES = 8192;

	/**
	 * Time the client has to close the connection after the last response, in
	 * milliseconds.
	 */
	private static final int LINGER_MILLIS = 500;

	private static final int READ_BYTES = 2048;

	private final String path;

	private final BooleanSupplier ready;

	private final Map<String, Supplier<String>> pages;

	private final ConnectionMemory memory;

	private final Set<ProbeHandler> open = new LinkedHashSet<>();

	/**
	 * Creates a server that is not listening yet.
	 * @param path path of the readiness probe
	 * @param ready whether the host is ready; called on the event loop
	 * @param pages suppliers of the text of further pages, by path; called on the event
	 * loop
	 * @param memory memory of all connections of the host
	 */
	public ReadinessServer(String path, BooleanSupplier ready, Map<String, Supplier<String>> pages,
			ConnectionMemory memory) {
		this.path = path;
		this.ready = ready;
		this.pages = Map.copyOf(pages);
		this.memory = memory;
	}

	/**
	 * Starts listening.
	 * @param loop the event loop
	 * @param address address to listen on
	 * @throws InterruptedException if interrupted before the socket is bound
	 */
	public void start(EventLoopGroup loop, InetSocketAddress address) throws InterruptedException {
		new ServerBootstrap().group(loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(READ_BYTES))
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					ProbeHandler handler = new ProbeHandler();
					channel.pipeline().addLast(handler.decoder, new HttpResponseEncoder(), handler);
				}
			})
			.bind(address)
			.sync();
	}

	private void opened(ProbeHandler handler) {
		if (this.open.size() >= MAX_CONNECTIONS) {
			ProbeHandler oldest = this.open.iterator().next();
			this.open.remove(oldest);
			oldest.close();
		}
		this.open.add(handler);
	}

	/**
	 * Responds to the requests of one connection. Responses to a client that does not
	 * read them stop the decoding of its further requests. The connection is closed after
	 * the response to a request with a body, and to one that another follows without
	 * awaiting it: rendering a page takes milliseconds, and hundreds of them the event
	 * loop's whole time.
	 */
	private final class ProbeHandler extends SimpleChannelInboundHandler<Object>
			implements GatedRequestDecoder.Receiver, ConnectionMemory.Holder {

		private final ConnectionShare share = new ConnectionShare(ReadinessServer.this.memory);

		private final GatedRequestDecoder decoder = new GatedRequestDecoder(MAX_HEADER_BYTES, this, this.share);

		private Channel channel;

		private boolean closing;

		private long heldSince = System.nanoTime();

		@Override
		public void handlerAdded(ChannelHandlerContext context) {
			this.channel = context.channel();
			ReadinessServer.this.memory.register(this);
			opened(this);
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, Object message) {
			if (this.closing || !(message instanceof HttpRequest request)) {
				return;
			}
			boolean keep = HttpUtil.isKeepAlive(request) && !hasBody(request) && request.decoderResult().isSuccess()
					&& !this.decoder.inputFollows();
			respond(request, keep);
			this.share.clearHead();
			this.heldSince = System.nanoTime();
		}

		private void respond(HttpRequest request, boolean keep) {
			ByteBuf body = body(request.uri());
			FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status(request.uri()),
					HttpMethod.HEAD.equals(request.method()) ? Unpooled.EMPTY_BUFFER : body);
			response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
			if (!keep) {
				this.closing = true;
				response.headers().set(HttpHeaderNames.CONNECTION, "close");
			}
			var written = this.channel.writeAndFlush(response);
			countUnwritten();
			if (!keep) {
				written.addListener((done) -> closeGracefully());
			}
		}

		private static boolean hasBody(HttpRequest request) {
			return HttpUtil.isTransferEncodingChunked(request) || HttpUtil.getContentLength(request, 0L) > 0;
		}

		// Closing the socket with unread input would reset the connection, and the client
		// might lose the response.
		private void closeGracefully() {
			if (this.channel instanceof SocketChannel socket && socket.isActive()) {
				socket.shutdownOutput();
				socket.eventLoop().schedule(this::close, LINGER_MILLIS, TimeUnit.MILLISECONDS);
			}
		}

		private void close() {
			this.closing = true;
			this.channel.close();
		}

		private ByteBuf body(String uri) {
			Supplier<String> page = ReadinessServer.this.pages.get(uri);
			return (page != null) ? Unpooled.copiedBuffer(page.get(), StandardCharsets.UTF_8) : Unpooled.EMPTY_BUFFER;
		}

		private HttpResponseStatus status(String uri) {
			if (ReadinessServer.this.pages.containsKey(uri)) {
				return HttpResponseStatus.OK;
			}
			if (!uri.equals(ReadinessServer.this.path)) {
				return HttpResponseStatus.NOT_FOUND;
			}
			return ReadinessServer.this.ready.getAsBoolean() ? HttpResponseStatus.OK
					: HttpResponseStatus.SERVICE_UNAVAILABLE;
		}

		@Override
		public boolean takesInput() {
			return this.channel.isWritable();
		}

		@Override
		public boolean discardsInput() {
			return this.closing;
		}

		@Override
		public boolean readsAhead() {
			return false;
		}

		@Override
		public void inputWaits(int count) {
			this.share.setInput(count);
		}

		private void countUnwritten() {
			ChannelOutboundBuffer output = this.channel.unsafe().outboundBuffer();
			this.share.setOutput((output != null) ? output.totalPendingWriteBytes() : 0);
		}

		@Override
		public long closableBytes() {
			return this.closing ? 0 : this.share.bytes();
		}

		@Override
		public long heldSinceNanos() {
			return this.heldSince;
		}

		@Override
		public void closeForMemory() {
			close();
			this.share.close();
		}

		@Override
		public void channelWritabilityChanged(ChannelHandlerContext context) {
			countUnwritten();
			if (this.channel.isWritable()) {
				context.executor().execute(this::resume);
			}
		}

		private void resume() {
			try {
				this.decoder.resume();
			}
			catch (Exception ex) {
				close();
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			ReadinessServer.this.memory.unregister(this);
			ReadinessServer.this.open.remove(this);
			this.closing = true;
			this.share.close();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			close();
		}

	}

}
