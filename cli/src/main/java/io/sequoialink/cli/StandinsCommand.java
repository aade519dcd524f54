package io.sequoialink.cli;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

import io.sequoialink.standin.Standins;
import picocli.CommandLine;

/**
 * Runs the simulated external systems (log, host directory, rating service and backend
 * servers) as a separate process until it is stopped. Confined to the main thread.
 */
@CommandLine.Command(name = "standins", mixinStandardHelpOptions = true,
		description = "Runs stand-ins of the log, the list of hosts, the rating service and the backend servers.",
		footer = { "", "Example:", "  sequoialink standins --deployment magnolia --base-port 8001" })
final class StandinsCommand implements Callable<Integer> {

	@CommandLine.Spec
	private CommandLine.Model.CommandSpec spec;

	@CommandLine.Option(names = "--deployment", defaultValue = "magnolia",
			description = "magnolia or bergvik (default: ${DEFAULT-VALUE})")
	private String deployment;

	@CommandLine.Option(names = "--base-port", defaultValue = "8001",
			description = "port of the log; the list and the ratings follow (default: ${DEFAULT-VALUE})")
	private int basePort;

	@CommandLine.Option(names = "--seed", defaultValue = "1", description = "seed (default: ${DEFAULT-VALUE})")
	private long seed;

	@CommandLine.Option(names = "--speed", defaultValue = "1",
			description = "factor on all times (default: ${DEFAULT-VALUE})")
	private double speed;

	@Override
	public Integer call() throws Exception {
		try (Standins standins = Standins.of(this.deployment)
			.seed(this.seed)
			.timeScale(this.speed)
			.basePort(this.basePort)
			.start()) {
			PrintWriter out = this.spec.commandLine().getOut();
			out.printf("log %s, directory %s, rating %s%n", standins.log().address(), standins.directory().address(),
					standins.rating().address());
			out.flush();
			new CountDownLatch(1).await();
		}
		return 0;
	}

}
