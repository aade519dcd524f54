package io.sequoialink.soak;

import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;

import io.sequoialink.entry.SoakHostMain;
import picocli.CommandLine;

/**
 * Command line of the soak test: runs entry hosts, injects faults and prints the violated
 * guarantees. Exits with 1 if there are any, with 2 if an option is invalid.
 */
@CommandLine.Command(name = "sequoialink soak", mixinStandardHelpOptions = true, description = {
		"Runs entry hosts as processes, injects faults and checks the promises meanwhile.",
		"Ends only processes that it started. The seed fixes the random choices; timing depends on the machine." },
		footer = { "", "Examples:", "  sequoialink soak --seed 7 --minutes 2", "  sequoialink soak --processes 8" })
public final class SoakCommand implements Callable<Integer> {

	private static final int MAX_PROCESSES = 100;

	private static final double MILLIS_PER_MINUTE = 60_000;

	@CommandLine.Spec
	private CommandLine.Model.CommandSpec spec;

	@CommandLine.Option(names = "--seed", defaultValue = "1", description = "seed (default: ${DEFAULT-VALUE})")
	private long seed;

	@CommandLine.Option(names = "--minutes", defaultValue = "1", description = "minutes with faults, 0.1 or more")
	private double minutes;

	@CommandLine.Option(names = "--processes", defaultValue = "4",
			description = "number of entry hosts, 2 to 100 (default: ${DEFAULT-VALUE})")
	private int processes;

	@CommandLine.Option(names = "--program", paramLabel = "JAR", defaultValue = "target/sequoialink-entry.jar",
			description = "jar of the entry host (default: ${DEFAULT-VALUE})")
	private Path program;

	@CommandLine.Option(names = "--output", paramLabel = "DIR",
			description = "directory for settings and logs of the hosts")
	private Path output;

	/**
	 * Runs the command and exits with its status.
	 * @param arguments command-line options
	 */
	public static void main(String[] arguments) {
		System.exit(new CommandLine(new SoakCommand()).execute(arguments));
	}

	@Override
	public Integer call() throws IOException {
		checkOptions();
		Path directory = (this.output != null) ? Files.createDirectories(this.output)
				: Files.createTempDirectory("sequoialink-soak");
		SoakOptions options = new SoakOptions(this.seed, (long) (this.minutes * MILLIS_PER_MINUTE), this.processes,
				List.of("-cp", this.program.toAbsolutePath() + File.pathSeparator + testClasses(),
						SoakHostMain.class.getName()),
				directory.toAbsolutePath());
		try (Soak soak = new Soak(options)) {
			return report(soak.run(), this.spec.commandLine().getOut());
		}
	}

	// The hosts' main class is test code, as it lets the soak cut their paths.
	private static String testClasses() {
		return SoakHostMain.class.getProtectionDomain().getCodeSource().getLocation().getPath();
	}

	private void checkOptions() {
		boolean validSizes = this.minutes >= 0.1 && this.processes >= 2 && this.processes <= MAX_PROCESSES;
		if (!validSizes || !Files.isReadable(this.program)) {
			throw new CommandLine.ParameterException(this.spec.commandLine(),
					"needs 0.1 minutes or more, 2 to 100 processes, and a readable program: " + this.program);
		}
	}

	static int report(SoakReport report, PrintWriter out) {
		report.counts().forEach((name, count) -> out.println("  " + name + ": " + count));
		report.violations().forEach((broken) -> out.println("  broken " + broken.rule() + ": " + broken.detail()));
		out.println("seed " + report.seed() + ": "
				+ (report.violations().isEmpty() ? "all promises held" : "promises were broken"));
		out.flush();
		return report.violations().isEmpty() ? CommandLine.ExitCode.OK : CommandLine.ExitCode.SOFTWARE;
	}

}
