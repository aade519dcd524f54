package io.sequoialink.gateway.http;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * HTTP server that answers the platform's readiness probe and serves plain-text pages,
 * such as the metrics. Confined to the event loop.
 */
public final class ReadinessServer {

	private final String path;

	private final BooleanSupplier ready;

	private final Map<String, Supplier<String>> pages;

	/**
	 * Creates a server that is not listening yet.
	 * @param path path of the readiness probe
	 * @param ready whether the host is ready; called on the event loop
	 * @param pages suppliers of the text of further pages, by path; called on the event
	 * loop
	 */
	public ReadinessServer(String path, BooleanSupplier ready, Map<String, Supplier<String>> pages) {
		this.path = path;
		this.ready = ready;
		this.pages = Map.copyOf(pages);
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
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline().addLast(new HttpRequestDecoder(), new HttpResponseEncoder(), new ProbeHandler());
				}
			})
			.bind(address)
			.sync();
	}

	/**
	 * Responds to the requests of one connection.
	 */
	private final class ProbeHandler extends SimpleChannelInboundHandler<Object> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, Object message) {
			if (!(message instanceof HttpRequest request)) {
				return;
			}
			ByteBuf body = body(request.uri());
			FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status(request.uri()), body);
			response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
			boolean keep = HttpUtil.isKeepAlive(request);
			if (!keep) {
				response.headers().set(HttpHeaderNames.CONNECTION, "close");
			}
			var written = context.writeAndFlush(response);
			if (!keep) {
				written.addListener(ChannelFutureListener.CLOSE);
			}
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
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
