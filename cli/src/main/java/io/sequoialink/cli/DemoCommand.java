package io.sequoialink.cli;

import java.io.PrintWriter;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sequoialink.bench.live.DeploymentObjects;
import io.sequoialink.bench.live.LiveFleet;
import io.sequoialink.bench.live.PromiseAudit;
import io.sequoialink.daemon.host.EntryHost;
import io.sequoialink.daemon.host.HostPolicies;
import io.sequoialink.membership.Member;
import io.sequoialink.standin.Standins;
import picocli.CommandLine;

/**
 * Runs entry hosts and simulated external systems in one process. Confined to the main
 * thread. With {@code --once} it sends a fixed series of requests, checks from the
 * records of the simulated systems that the guarantees to clients held, and exits with 0
 * only if they did.
 */
@CommandLine.Command(name = "demo", mixinStandardHelpOptions = true,
		description = "Runs entry hosts on embedded stand-ins.",
		footer = { "", "Examples:", "  sequoialink demo", "  sequoialink demo --once --deployment bergvik --seed 7" })
final class DemoCommand implements Callable<Integer> {

	private static final long TABLE_INTERVAL_MILLIS = 2_000;

	@CommandLine.Spec
	private CommandLine.Model.CommandSpec spec;

	@CommandLine.Option(names = "--once", description = "send a set of requests, count the promises and exit")
	private boolean once;

	@CommandLine.Option(names = "--deployment", defaultValue = "magnolia",
			description = "magnolia or bergvik (default: ${DEFAULT-VALUE})")
	private String deployment;

	@CommandLine.Option(names = "--seed", defaultValue = "1", description = "seed (default: ${DEFAULT-VALUE})")
	private long seed;

	@CommandLine.Option(names = "--hosts", defaultValue = "3", description = "entry hosts (default: ${DEFAULT-VALUE})")
	private int hosts;

	@CommandLine.Option(names = "--speed", defaultValue = "0.2",
			description = "factor on the engines' and ratings' times (default: ${DEFAULT-VALUE})")
	private double speed;

	@Override
	public Integer call() throws Exception {
		if (!"magnolia".equals(this.deployment) && !"bergvik".equals(this.deployment)) {
			throw new CommandLine.ParameterException(this.spec.commandLine(),
					"Invalid value for option '--deployment': '" + this.deployment + "': use magnolia or bergvik");
		}
		PrintWriter out = this.spec.commandLine().getOut();
		Standins standins = Standins.of(this.deployment).seed(this.seed).timeScale(this.speed).start();
		try (LiveFleet fleet = LiveFleet.start(this.deployment, standins, this.hosts, HostPolicies.DEFAULT,
				this.seed)) {
			return this.once ? runOnce(fleet, out) : runUntilStopped(fleet, out);
		}
	}

	private int runOnce(LiveFleet fleet, PrintWriter out) throws Exception {
		ObjectNode figures = new DemoRun(fleet, out)
			.run(DemoScript.generate(fleet.standins().outcomes().table(), this.hosts, this.seed));
		out.println(figures);
		out.flush();
		return PromiseAudit.kept(figures) ? 0 : 1;
	}

	private int runUntilStopped(LiveFleet fleet, PrintWriter out) throws InterruptedException {
		for (EntryHost host : fleet.hosts()) {
			out.printf("%s in %s listens on http://127.0.0.1:%d%n", host.identity().host(), host.identity().zone(),
					host.httpPort());
		}
		String requestClass = fleet.standins().outcomes().table().classes().get(0).id();
		out.printf(
				"%nTry: curl -N http://127.0.0.1:%d/v1/chat/completions -H 'authorization: Bearer %s' "
						+ "-H 'x-sequoialink-class: %s' -H 'content-type: application/json' "
						+ "-d '{\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'%n%n",
				fleet.hosts().get(0).httpPort(), DeploymentObjects.key("account-0"), requestClass);
		while (true) {
			printTable(fleet, out);
			Thread.sleep(TABLE_INTERVAL_MILLIS);
		}
	}

	private static void printTable(LiveFleet fleet, PrintWriter out) {
		out.printf("%-10s %-14s %-6s %8s %8s%n", "host", "zone", "ready", "revision", "members");
		for (EntryHost host : fleet.hosts()) {
			long alive = host.peers()
				.members()
				.stream()
				.filter((member) -> member.state() == Member.State.ALIVE)
				.count();
			out.printf("%-10s %-14s %-6s %8d %8d%n", host.identity().host(), host.identity().zone(), host.ready(),
					host.catalogue().view().revision(), alive);
		}
		out.printf("runs at engines: %d%n%n", fleet.standins().executionRecorder().runs().size());
		out.flush();
	}

}
