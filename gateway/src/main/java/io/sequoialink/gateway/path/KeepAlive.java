package io.sequoialink.gateway.path;

import java.util.Map;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import jdk.net.ExtendedSocketOptions;

/**
 * TCP keep-alive probes of this host's connections. Stateless. They detect within three
 * seconds, on a connection without unacknowledged data, that the peer's machine has
 * failed or become unreachable; they do not detect a hung process, for which the
 * operating system still acknowledges the probes.
 *
 * <p>
 * {@code TCP_USER_TIMEOUT} must stay unset: on Linux it decides when probes give up,
 * whatever their count. The NIO transport cannot set it; a native transport could.
 */
public final class KeepAlive {

	/** Time without data after which the first probe is sent, in seconds. */
	static final int IDLE_SECONDS = 1;

	/** Time between two probes, in seconds. */
	static final int INTERVAL_SECONDS = 1;

	/** Number of unanswered probes that end the connection. */
	static final int PROBES = 2;

	/**
	 * Options of a connection with probes.
	 */
	static final Map<ChannelOption<?>, Object> OPTIONS = Map.of(ChannelOption.TCP_NODELAY, true,
			ChannelOption.SO_KEEPALIVE, true, NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_SECONDS,
			NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), INTERVAL_SECONDS,
			NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES);

	private KeepAlive() {
	}

	/**
	 * Returns a bootstrap for connections with probes.
	 * @param loop the event loop
	 * @param connectMillis connect timeout in milliseconds
	 * @return a new bootstrap without a handler
	 */
	public static Bootstrap newBootstrap(EventLoopGroup loop, int connectMillis) {
		Bootstrap bootstrap = new Bootstrap().group(loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis);
		OPTIONS.forEach((option, value) -> set(bootstrap, option, value));
		return bootstrap;
	}

	@SuppressWarnings("unchecked")
	private static <T> void set(Bootstrap bootstrap, ChannelOption<T> option, Object value) {
		bootstrap.option(option, (T) value);
	}

}
