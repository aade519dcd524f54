package io.sequoialink.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Simulates the load balancer in front of the hosts: checks the readiness of each host
 * every second and takes it out of rotation after two failed checks in a row. If fewer
 * than half of the hosts are left, it uses all. Thread-safe.
 */
final class HostLoadBalancer {

	private final List<HostProcess> hosts;

	private final Map<HostProcess, Integer> failedChecks = new HashMap<>();

	private volatile boolean running = true;

	HostLoadBalancer(List<HostProcess> hosts) {
		this.hosts = hosts;
		for (HostProcess host : hosts) {
			DaemonThreads.start("readiness", () -> checkReadiness(host));
		}
	}

	private void checkReadiness(HostProcess host) {
		while (this.running) {
			boolean ready = host.ready();
			synchronized (this) {
				this.failedChecks.merge(host, ready ? 0 : 1, (before, now) -> ready ? 0 : before + now);
			}
			DaemonThreads.sleep(1000);
		}
	}

	/**
	 * Ends the readiness checks.
	 */
	void stop() {
		this.running = false;
	}

	synchronized HostProcess pick(Random random) {
		List<HostProcess> ready = new ArrayList<>(this.hosts);
		ready.removeIf((host) -> this.failedChecks.getOrDefault(host, 0) >= 2);
		List<HostProcess> candidates = (2 * ready.size() < this.hosts.size()) ? this.hosts : ready;
		return candidates.get(random.nextInt(candidates.size()));
	}

}
