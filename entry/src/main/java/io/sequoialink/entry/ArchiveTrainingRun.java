package io.sequoialink.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import io.sequoialink.gateway.http.ListeningSocket;

/**
 * Training run for the archive of classes (AppCDS): starts a host on loopback without a
 * store, sends it one request and exits the process, so that the build can archive the
 * classes that a start loads and links. Used only by the build.
 */
final class ArchiveTrainingRun {

	private static final String SETTINGS = """
			{"host":"rehearsal","zone":"none","clients":"127.0.0.1:%1$d","readiness":"127.0.0.1:%2$d",
			"peers":"127.0.0.1:%4$d","store":{"address":"127.0.0.1:%3$d"},
			"bounds":{"stop_seconds":1,"leaving_millis":1000,"apply_millis":1000,"repeat_ratio":1,"repeat_slack":1,
			"repeat_window_seconds":1,"exposure_share":0.1,"exposure_slack":1,"session_seconds":1}}""";

	private static final int TIMEOUT_MILLIS = 5000;

	private ArchiveTrainingRun() {
	}

	/**
	 * Starts a host on loopback, sends it one request and exits the process with status
	 * 0, so that the build can record which classes were loaded.
	 * @throws IOException if loopback cannot be used
	 * @throws InterruptedException if interrupted while sockets are bound
	 */
	static void run() throws IOException, InterruptedException {
		int loaded = StartupClasses.load();
		LogConfiguration.suppressLogging();
		ServerSocketChannel clients = ListeningSocket.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
		InetSocketAddress address = (InetSocketAddress) clients.getLocalAddress();
		EntrySettings settings = settings(address.getPort());
		BoundedLogAppender log = LogConfiguration.configure(settings.host());
		EntryHost host = new EntryHost(settings);
		host.start(clients);
		System.out.println("loaded " + loaded + " classes; " + sendRequest(address) + " from the training run");
		log.flush(TIMEOUT_MILLIS);
		System.exit(0);
	}

	private static EntrySettings settings(int clients) throws IOException {
		Path file = Files.createTempFile("sequoialink", ".json");
		try {
			Files.writeString(file, SETTINGS.formatted(clients, freePort(), freePort(), freePort()));
			return SettingsReader.read(file);
		}
		catch (SettingsException ex) {
			throw new IllegalStateException("the settings of the training run are invalid: " + ex.errors(), ex);
		}
		finally {
			Files.delete(file);
		}
	}

	private static int freePort() throws IOException {
		try (ServerSocketChannel socket = ListeningSocket
			.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
			return ((InetSocketAddress) socket.getLocalAddress()).getPort();
		}
	}

	private static String sendRequest(InetSocketAddress address) throws IOException {
		try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
			socket.setSoTimeout(TIMEOUT_MILLIS);
			String request = "GET /rehearsal/ HTTP/1.1\r\nHost: rehearsal\r\nConnection: close\r\n\r\n";
			socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
			String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
			return answer.lines().findFirst().orElse("no answer");
		}
	}

}
