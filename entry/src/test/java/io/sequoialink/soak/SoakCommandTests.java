package io.sequoialink.soak;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import io.sequoialink.entry.SoakHostMain;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Short run of the soak test with hosts from the classes of this build, output of a
 * violated guarantee, and rejected options.
 */
class SoakCommandTests {

	@Test
	void shortRunKeepsAllPromises(@TempDir Path directory) throws IOException {
		List<String> program = List.of("-cp", System.getProperty("java.class.path"), SoakHostMain.class.getName());
		SoakReport report;
		try (Soak soak = new Soak(new SoakOptions(1, 9000, 2, program, directory))) {
			report = soak.run();
		}
		assertThat(report.violations()).isEmpty();
		assertThat(report.counts()).containsKeys("sent", "status 200");
	}

	@Test
	void printsBrokenPromiseAndFails() {
		StringWriter out = new StringWriter();
		SoakReport report = new SoakReport(9, Map.of("sent", 3), List.of(new Violation("TWICE", "q1")));
		assertThat(SoakCommand.report(report, new PrintWriter(out))).isEqualTo(CommandLine.ExitCode.SOFTWARE);
		assertThat(out.toString()).contains("broken TWICE: q1", "seed 9: promises were broken");
	}

	@ParameterizedTest
	@ValueSource(strings = { "--minutes=0", "--processes=1", "--processes=500", "--program=/nowhere.jar" })
	void rejectsInvalidOptions(String option) {
		StringWriter err = new StringWriter();
		CommandLine line = new CommandLine(new SoakCommand());
		line.setErr(new PrintWriter(err, true));
		assertThat(line.execute(option)).isEqualTo(CommandLine.ExitCode.USAGE);
		assertThat(err.toString()).contains("needs 0.1 minutes or more");
	}

}
