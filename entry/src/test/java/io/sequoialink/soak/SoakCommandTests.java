package io.sequoialink.soak;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Path;
import java.util.List;

import io.sequoialink.entry.EntryMain;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * One short run of the soak with hosts from the classes of this build, and options that
 * its command refuses.
 */
class SoakCommandTests {

	@Test
	void aShortRunHoldsAllPromises(@TempDir Path directory) throws IOException {
		List<String> program = List.of("-cp", System.getProperty("java.class.path"), EntryMain.class.getName());
		SoakReport report;
		try (Soak soak = new Soak(new SoakOptions(1, 9000, 2, program, directory))) {
			report = soak.run();
		}
		assertThat(report.violations()).isEmpty();
		assertThat(report.counts()).containsKeys("sent", "status 200");
	}

	@ParameterizedTest
	@ValueSource(strings = { "--minutes=0", "--processes=1", "--processes=500", "--program=/nowhere.jar" })
	void optionsThatMakeNoSenseAreRefused(String option) {
		StringWriter err = new StringWriter();
		CommandLine line = new CommandLine(new SoakCommand());
		line.setErr(new PrintWriter(err, true));
		assertThat(line.execute(option)).isEqualTo(CommandLine.ExitCode.USAGE);
		assertThat(err.toString()).contains("needs 0.1 minutes or more");
	}

}
