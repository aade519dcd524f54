package io.sequoialink.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Cuts some hosts off from all servers at random times, beside all faults: one, several,
 * or all but one of them, silently, by resets, or so that open connections live on. It is
 * no disturbance of the hosts. Thread-safe.
 */
final class CutInjector {

	private static final Logger logger = LoggerFactory.getLogger(CutInjector.class);

	private static final int SEED_MASK = 0xC07;

	private final Random random;

	private final List<HostProcess> hosts;

	private final PromiseChecker checker;

	private final DisturbanceTracker disturbances;

	private boolean active;

	CutInjector(long seed, List<HostProcess> hosts, PromiseChecker checker, DisturbanceTracker disturbances) {
		this.disturbances = disturbances;
		this.random = new Random(seed ^ SEED_MASK);
		this.hosts = hosts;
		this.checker = checker;
	}

	/**
	 * Cuts hosts off for some time (in 1 of 5 calls, unless some are cut off already);
	 * otherwise does nothing.
	 */
	void cutAtRandom() {
		int draw = this.random.nextInt(5);
		int millis = Bounds.STABILIZATION_MILLIS + 1500 + this.random.nextInt(5000);
		ServerPaths.Cut cut = ServerPaths.Cut.values()[1 + this.random.nextInt(ServerPaths.Cut.values().length - 1)];
		int count = 1 + this.random.nextInt(Math.max(1, this.hosts.size() - 1));
		boolean calm = this.random.nextInt(3) > 0;
		List<HostProcess> drawn = new ArrayList<>(this.hosts);
		Collections.shuffle(drawn, this.random);
		if (draw == 0 && begin()) {
			List<HostProcess> chosen = drawn.subList(0, count);
			DaemonThreads.start("cut", () -> cut(chosen, cut, millis, calm));
		}
	}

	private synchronized boolean begin() {
		boolean begins = !this.active;
		this.active = true;
		return begins;
	}

	private void cut(List<HostProcess> chosen, ServerPaths.Cut cut, int millis, boolean calm) {
		if (calm) {
			this.disturbances.beginStoreCalm();
		}
		Set<String> names = chosen.stream().map(HostProcess::name).collect(Collectors.toSet());
		logger.info("{} are cut off from all servers for {} ms: {}", names, millis, cut);
		this.checker.recordCut(names);
		chosen.forEach((host) -> host.paths().setCut(cut));
		DaemonThreads.sleep(millis);
		this.checker.recordCutEnded();
		chosen.forEach((host) -> host.paths().setCut(ServerPaths.Cut.NONE));
		if (calm) {
			this.disturbances.endStoreCalm();
		}
		synchronized (this) {
			this.active = false;
		}
	}

	synchronized boolean idle() {
		return !this.active;
	}

}
