package io.sequoialink.entry;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.sequoialink.soak.FreePorts;
import io.sequoialink.soak.StandinStore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs the program as a separate process, from the classes of this build.
 */
class EntryMainTests {

	@TempDir
	private Path directory;

	private Process start(String settings, String... options) throws IOException {
		Path file = Files.writeString(this.directory.resolve("settings.json"), settings);
		return java(List.of(options), file.toString());
	}

	private Process java(String... arguments) throws IOException {
		return java(List.of(), arguments);
	}

	private Process java(List<String> options, String... arguments) throws IOException {
		List<String> command = new ArrayList<>();
		command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
		command.addAll(options);
		command.addAll(List.of("-cp", System.getProperty("java.class.path"), EntryMain.class.getName()));
		command.addAll(List.of(arguments));
		return new ProcessBuilder(command).redirectErrorStream(true)
			.redirectOutput(this.directory.resolve("out").toFile())
			.start();
	}

	@Test
	void everyLogLineIsJsonFromStartToStop() throws Exception {
		try (StandinStore store = new StandinStore()) {
			int readiness = FreePorts.tcp();
			Process process = start(settings(store, readiness));
			within(() -> answers(readiness));
			process.destroy();
			assertThat(process.waitFor(10, TimeUnit.SECONDS)).isTrue();
			String text = Files.readString(this.directory.resolve("out"));
			assertThat(text.lines()).isNotEmpty().allMatch((line) -> line.startsWith("{\"time\":"));
			assertThat(text).contains("SL-3001", "SL-3002", "SL-3003");
		}
	}

	@Test
	void logsWhenTheHostBecomesReadyAndWhyItStopsBeingReady() throws Exception {
		try (StandinStore store = new StandinStore()) {
			store.put("op", "config", "{\"version\":7,\"routes\":[],\"services\":[]}");
			int readiness = FreePorts.tcp();
			Process process = start(settings(store, readiness));
			within(() -> out().contains("SL-3009"));
			process.destroy();
			assertThat(process.waitFor(10, TimeUnit.SECONDS)).isTrue();
			assertThat(out()).contains("is ready: configuration 7, 0 backend servers")
				.contains("is not ready any more: the host is draining");
		}
	}

	private String out() {
		try {
			return Files.readString(this.directory.resolve("out"));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	// Each class loaded at start makes a restart slower.
	@Test
	void loadsMetricsLibraryOnlyAtTheFirstScrape() throws Exception {
		Path loaded = this.directory.resolve("loaded");
		try (StandinStore store = new StandinStore()) {
			int readiness = FreePorts.tcp();
			Process process = start(settings(store, readiness), "-Xlog:class+load:file=" + loaded);
			within(() -> answers(readiness));
			assertThat(Files.readString(loaded)).contains("io.sequoialink.entry.EntryHost")
				.doesNotContain("io.prometheus");
			assertThat(status(readiness, "/metrics")).isEqualTo(200);
			assertThat(Files.readString(loaded)).contains("io.prometheus");
			process.destroyForcibly().waitFor();
		}
	}

	// Guards against refused connections after many hosts were killed at once: clients
	// that reconnect immediately must not have to wait until all classes are loaded.
	@Test
	void acceptsClientConnectionsBeforeSettingsAreRead() throws Exception {
		Path settings = this.directory.resolve("pipe");
		assertThat(new ProcessBuilder("mkfifo", settings.toString()).start().waitFor()).isZero();
		int clients = FreePorts.tcp();
		Process process = java("--listen", "127.0.0.1:" + clients, settings.toString());
		try (StandinStore store = new StandinStore()) {
			within(() -> connects(clients));
			int readiness = FreePorts.tcp();
			Files.writeString(settings, settings(store, clients, readiness));
			within(() -> answers(readiness));
			assertThat(status(clients, "/none")).isEqualTo(503);
		}
		finally {
			process.destroyForcibly().waitFor();
		}
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void exitsWithOneLineIfTheClientAddressIsInUse(boolean early) throws Exception {
		try (StandinStore store = new StandinStore();
				ServerSocket used = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			int port = used.getLocalPort();
			Path file = Files.writeString(this.directory.resolve("settings.json"),
					settings(store, port, FreePorts.tcp()));
			Process process = early ? java("--listen", "127.0.0.1:" + port, file.toString()) : java(file.toString());
			assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
			assertThat(process.exitValue()).isEqualTo(1);
			assertThat(out().lines()).containsExactly("cannot listen on the client address: Address already in use");
		}
	}

	private static boolean connects(int port) {
		try (Socket socket = new Socket("127.0.0.1", port)) {
			return socket.isConnected();
		}
		catch (IOException ex) {
			return false;
		}
	}

	private static String settings(StandinStore store, int readiness) throws IOException {
		return settings(store, FreePorts.tcp(), readiness);
	}

	private static String settings(StandinStore store, int clients, int readiness) {
		return "{\"host\":\"h1\",\"zone\":\"a\",\"clients\":\"127.0.0.1:" + clients + "\",\"readiness\":\"127.0.0.1:"
				+ readiness + "\",\"store\":{\"address\":\"127.0.0.1:" + store.address().getPort()
				+ "\"},\"bounds\":{\"stop_seconds\":4,\"leaving_millis\":2000,"
				+ "\"apply_millis\":2000,\"repeat_ratio\":0.9,\"repeat_slack\":56,\"repeat_window_seconds\":10,"
				+ "\"exposure_share\":0.15,\"exposure_slack\":30,\"session_seconds\":5}}";
	}

	private static boolean answers(int readiness) {
		try {
			return status(readiness, "/-/readiness") == 503;
		}
		catch (IOException ex) {
			return false;
		}
	}

	private static int status(int port, String path) throws IOException {
		HttpURLConnection connection = (HttpURLConnection) URI.create("http://127.0.0.1:" + port + path)
			.toURL()
			.openConnection();
		int status = connection.getResponseCode();
		connection.disconnect();
		return status;
	}

	private static void within(BooleanSupplier condition) throws InterruptedException {
		long deadline = System.nanoTime() + 20_000_000_000L;
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime()).isLessThan(deadline);
			Thread.sleep(50);
		}
	}

	@Test
	void exitsWithAllErrorsIfSettingsAreInvalid() throws Exception {
		Process process = start("{\"host\":7,\"zone\":\"a\"}");
		assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
		String text = Files.readString(this.directory.resolve("out"));
		assertThat(process.exitValue()).isEqualTo(2);
		assertThat(text).contains("clients")
			.contains("readiness")
			.contains("store.address is missing", "bounds.apply_millis is missing")
			.doesNotContain("DEBUG");
	}

}
