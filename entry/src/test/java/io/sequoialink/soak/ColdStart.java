package io.sequoialink.soak;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;

/**
 * Whether a simulated server of the service "app" starts cold, as half of them do, and
 * the check that all hosts together keep to the limit meanwhile in any one second.
 * Thread-safe.
 */
final class ColdStart {

	private static final int SEED_MASK = 0xC01D;

	private final String server;

	private final PromiseChecker checker;

	private final long untilNanos;

	private final Deque<Long> arrivals = new ArrayDeque<>();

	ColdStart(String service, String server, long seed, PromiseChecker checker) {
		this.server = server;
		this.checker = checker;
		boolean cold = service.equals("app") && new SplittableRandom(seed ^ SEED_MASK).nextBoolean();
		this.untilNanos = System.nanoTime() + (cold ? Bounds.millisToNanos(Bounds.COLD_MILLIS) : 0);
	}

	/**
	 * Returns how long the server stays cold.
	 * @return time in milliseconds, 0 if it is warm
	 */
	long leftMillis() {
		return Math.max(0, this.untilNanos - System.nanoTime()) / 1_000_000;
	}

	/**
	 * Records a request that the server takes.
	 * @param id identifier of the request
	 */
	synchronized void arrived(String id) {
		if (leftMillis() == 0) {
			return;
		}
		long now = System.nanoTime();
		this.arrivals.addLast(now);
		this.arrivals.removeIf((at) -> now - at >= Bounds.millisToNanos(1000));
		this.checker.recordColdArrival();
		if (this.arrivals.size() > Bounds.MAX_COLD_ARRIVALS) {
			this.checker.reportViolation("COLD", id,
					this.arrivals.size() + " requests in a second reached " + this.server + ", which is cold");
		}
	}

}
