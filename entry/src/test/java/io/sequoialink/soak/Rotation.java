package io.sequoialink.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * The platform's balancer: asks each host every second whether it is ready and takes it
 * out after two misses in a row; with fewer than half left it uses all. Safe for threads.
 */
final class Rotation {

	private final List<HostProcess> hosts;

	private final Map<HostProcess, Integer> misses = new HashMap<>();

	private volatile boolean running = true;

	Rotation(List<HostProcess> hosts) {
		this.hosts = hosts;
		for (HostProcess host : hosts) {
			Daemons.start("rotation", () -> ask(host));
		}
	}

	private void ask(HostProcess host) {
		while (this.running) {
			boolean ready = host.ready();
			synchronized (this) {
				this.misses.merge(host, ready ? 0 : 1, (before, now) -> ready ? 0 : before + now);
			}
			Daemons.sleep(1000);
		}
	}

	/**
	 * Asks no host any more.
	 */
	void stop() {
		this.running = false;
	}

	synchronized HostProcess pick(Random random) {
		List<HostProcess> in = new ArrayList<>(this.hosts);
		in.removeIf((host) -> this.misses.getOrDefault(host, 0) >= 2);
		List<HostProcess> from = (2 * in.size() < this.hosts.size()) ? this.hosts : in;
		return from.get(random.nextInt(from.size()));
	}

}
