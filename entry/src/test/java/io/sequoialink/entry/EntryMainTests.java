package io.sequoialink.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.sequoialink.soak.StandinStore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The program as a process of its own, run from the classes of this build.
 */
class EntryMainTests {

	@TempDir
	private Path directory;

	private Process start(String settings) throws IOException {
		Path file = Files.writeString(this.directory.resolve("settings.json"), settings);
		return new ProcessBuilder(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
				System.getProperty("java.class.path"), EntryMain.class.getName(), file.toString()))
			.redirectErrorStream(true)
			.redirectOutput(this.directory.resolve("out").toFile())
			.start();
	}

	@Test
	void everyLineOfTheLogIsJsonFromTheStartToTheStop() throws Exception {
		try (StandinStore store = new StandinStore()) {
			Process process = start("{\"host\":\"h1\",\"zone\":\"a\",\"clients\":\"127.0.0.1:" + freePort()
					+ "\",\"readiness\":\"127.0.0.1:" + freePort() + "\",\"store\":{\"address\":\"127.0.0.1:"
					+ store.address().getPort() + "\"},\"bounds\":{\"stop_seconds\":4,\"leaving_millis\":2000,"
					+ "\"apply_millis\":2000,\"repeat_ratio\":0.9,\"repeat_slack\":56,\"repeat_window_seconds\":10,"
					+ "\"exposure_share\":0.15,\"exposure_slack\":30,\"session_seconds\":5}}");
			Thread.sleep(2500);
			process.destroy();
			assertThat(process.waitFor(10, TimeUnit.SECONDS)).isTrue();
			String text = Files.readString(this.directory.resolve("out"));
			assertThat(text.lines()).isNotEmpty().allMatch((line) -> line.startsWith("{\"time\":"));
			assertThat(text).contains("SL-3001", "SL-3002", "SL-3003");
		}
	}

	@Test
	void settingsThatCannotBeUsedEndTheProgramWithAllErrors() throws Exception {
		Process process = start("{\"host\":7,\"zone\":\"a\"}");
		assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
		String text = Files.readString(this.directory.resolve("out"));
		assertThat(process.exitValue()).isEqualTo(2);
		assertThat(text).contains("clients")
			.contains("readiness")
			.contains("store.address is missing", "bounds.apply_millis is missing")
			.doesNotContain("DEBUG");
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return socket.getLocalPort();
		}
	}

}
