package io.sequoialink.cli;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The soak as an operator calls it: one short run, and options that it refuses.
 */
class SoakCommandTests {

	private static final Path PROGRAM = Path.of("..", "target", "sequoialink-entry.jar");

	private final StringWriter out = new StringWriter();

	private final StringWriter err = new StringWriter();

	private int run(String... arguments) {
		CommandLine line = Main.commandLine();
		line.setOut(new PrintWriter(this.out, true));
		line.setErr(new PrintWriter(this.err, true));
		return line.execute(arguments);
	}

	@Test
	void aShortRunHoldsAllPromises(@TempDir Path directory) {
		assertThat(Files.isReadable(PROGRAM)).as("built by mvn verify: %s", PROGRAM).isTrue();
		int status = run("soak", "--seed", "1", "--minutes", "0.15", "--processes", "2", "--program",
				PROGRAM.toString(), "--output", directory.toString());
		assertThat(this.out.toString()).contains("seed 1: all promises held").contains("status 200");
		assertThat(status).isEqualTo(ExitCodes.OK);
	}

	@ParameterizedTest
	@ValueSource(strings = { "--minutes=0", "--processes=1", "--processes=500", "--program=/nowhere.jar" })
	void optionsThatMakeNoSenseAreRefused(String option) {
		assertThat(run("soak", option)).isEqualTo(ExitCodes.INVALID);
		assertThat(this.err.toString()).contains("needs 0.1 minutes or more");
	}

}
