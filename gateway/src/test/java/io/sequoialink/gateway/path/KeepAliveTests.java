package io.sequoialink.gateway.path;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketOption;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import jdk.net.ExtendedSocketOptions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledOnOs;
import org.junit.jupiter.api.condition.OS;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Keep-alive probes as the system has them on a connected socket.
 */
class KeepAliveTests {

	/** Name of the timer of keep-alive probes in the system's table of sockets. */
	private static final String KEEP_ALIVE_TIMER = "02";

	@Test
	void socketsHaveTheProbesAndAreOfTheNioTransport() throws Exception {
		NioEventLoopGroup loop = new NioEventLoopGroup(1);
		try (ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			Channel channel = connect(loop, listening);
			assertThat(channel).isInstanceOf(NioSocketChannel.class);
			assertThat(option(channel, ExtendedSocketOptions.TCP_KEEPIDLE)).isEqualTo(1);
			assertThat(option(channel, ExtendedSocketOptions.TCP_KEEPINTERVAL)).isEqualTo(1);
			assertThat(option(channel, ExtendedSocketOptions.TCP_KEEPCOUNT)).isEqualTo(2);
		}
		finally {
			loop.shutdownGracefully();
		}
	}

	private static Channel connect(NioEventLoopGroup loop, ServerSocket listening) throws InterruptedException {
		return KeepAlive.newBootstrap(loop, 500)
			.handler(new ChannelInboundHandlerAdapter())
			.connect(listening.getLocalSocketAddress())
			.sync()
			.channel();
	}

	private static int option(Channel channel, SocketOption<Integer> option) {
		return channel.config().getOption(NioChannelOption.of(option));
	}

	// Guards against a library that sets TCP_USER_TIMEOUT: it decides when probes give
	// up,
	// whatever their count. Only native transports set it, so none may be in the program.
	@Test
	void noTransportIsPresentThatSetsAUserTimeout() {
		List<String> names = List.of("io.netty.channel.epoll.EpollSocketChannel",
				"io.netty.channel.epoll.EpollChannelOption", "io.netty.incubator.channel.uring.IOUringSocketChannel");
		assertThat(names).allSatisfy((name) -> assertThat(present(name)).as(name).isFalse());
	}

	private static boolean present(String name) {
		try {
			Class.forName(name, false, KeepAliveTests.class.getClassLoader());
			return true;
		}
		catch (ClassNotFoundException ex) {
			return false;
		}
	}

	// The system's table says which timer runs for a socket and when it expires: within
	// the
	// idle time if the probes are armed.
	@Test
	@EnabledOnOs(OS.LINUX)
	void theProbesAreArmedOnAnIdleConnection() throws Exception {
		NioEventLoopGroup loop = new NioEventLoopGroup(1);
		try (ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			Channel channel = connect(loop, listening);
			try (Socket accepted = listening.accept()) {
				int port = ((InetSocketAddress) channel.localAddress()).getPort();
				assertThat(timerOf(port)).isEqualTo(KEEP_ALIVE_TIMER);
			}
		}
		finally {
			loop.shutdownGracefully();
		}
	}

	private static String timerOf(int localPort) throws IOException {
		String suffix = String.format(Locale.ROOT, ":%04X", localPort);
		for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
			for (String line : Files.readAllLines(Path.of(table))) {
				String[] fields = line.trim().split("\\s+");
				if (fields[1].endsWith(suffix) && fields[3].equals("01")) {
					return fields[5].substring(0, 2);
				}
			}
		}
		return "none";
	}

}
