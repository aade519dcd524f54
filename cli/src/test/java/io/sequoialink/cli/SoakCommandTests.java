package io.sequoialink.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs the soak test in a separate process, as an operator would, against the program
 * file that the build made: one short run, and invalid options.
 */
class SoakCommandTests {

	private static final Path PROGRAM = Path.of("..", "target", "sequoialink-entry.jar");

	private static final Path SOAK_CLASSES = Path.of("..", "entry", "target", "test-classes");

	@TempDir
	private Path directory;

	private int run(String... arguments) throws Exception {
		List<String> command = new ArrayList<>(
				List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
						SOAK_CLASSES + System.getProperty("path.separator") + System.getProperty("java.class.path"),
						"io.sequoialink.soak.SoakCommand"));
		command.addAll(List.of(arguments));
		return new ProcessBuilder(command).redirectErrorStream(true)
			.redirectOutput(this.directory.resolve("out").toFile())
			.start()
			.waitFor();
	}

	private String out() throws IOException {
		return Files.readString(this.directory.resolve("out"));
	}

	@Test
	void shortRunKeepsAllGuarantees() throws Exception {
		assertThat(Files.isReadable(PROGRAM)).as("built by mvn verify: %s", PROGRAM).isTrue();
		int status = run("--seed", "1", "--minutes", "0.15", "--processes", "2", "--program", PROGRAM.toString(),
				"--output", this.directory.toString());
		assertThat(out()).contains("seed 1: all promises held").contains("status 200");
		assertThat(status).isEqualTo(ExitCodes.OK);
	}

	@ParameterizedTest
	@ValueSource(strings = { "--minutes=0", "--processes=1", "--processes=500", "--program=/nowhere.jar" })
	void invalidOptionsAreRejected(String option) throws Exception {
		assertThat(run(option)).isEqualTo(ExitCodes.INVALID);
		assertThat(out()).contains("needs 0.1 minutes or more");
	}

}
