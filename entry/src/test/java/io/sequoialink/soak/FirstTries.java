package io.sequoialink.soak;

import java.util.Optional;
import java.util.Set;

/**
 * First tries of clients while some hosts are cut off from all servers, at these hosts
 * and at the others. Guarded by the {@link PromiseChecker} that holds it.
 */
final class FirstTries {

	/** The platform's bound: share of the others' that a cut-off host must serve. */
	private static final double MIN_SERVED_SHARE = 2.0 / 3;

	/** First tries that may fail at cut-off hosts in any case. */
	private static final int ALLOWED_FAILURES = 10;

	/** One in so many of all first tries may fail there beyond that. */
	private static final int ALLOWED_PART = 50;

	private Set<String> cutOff = Set.of();

	private long countsFromNanos;

	private int cutServed;

	private int cutSent;

	private int otherServed;

	private int otherSent;

	/**
	 * Hosts are cut off from now on.
	 * @param hosts names of the hosts
	 * @param nowNanos monotonic time in nanoseconds
	 */
	void begin(Set<String> hosts, long nowNanos) {
		this.cutOff = Set.copyOf(hosts);
		this.countsFromNanos = nowNanos + Bounds.millisToNanos(Bounds.STABILIZATION_MILLIS);
		this.cutServed = 0;
		this.cutSent = 0;
		this.otherServed = 0;
		this.otherSent = 0;
	}

	boolean cutOff(String host) {
		return this.cutOff.contains(host);
	}

	/**
	 * Records the end of a first try.
	 * @param host name of the host
	 * @param sentNanos monotonic time at which it was sent
	 * @param served whether it was answered with success
	 */
	void ended(String host, long sentNanos, boolean served) {
		if (this.cutOff.isEmpty() || sentNanos - this.countsFromNanos < 0) {
			return;
		}
		if (this.cutOff.contains(host)) {
			this.cutSent++;
			this.cutServed += served ? 1 : 0;
		}
		else {
			this.otherSent++;
			this.otherServed += served ? 1 : 0;
		}
	}

	/**
	 * The hosts are no longer cut off.
	 * @return what was exceeded, empty if the bound was kept
	 */
	Optional<String> end() {
		this.cutOff = Set.of();
		if (this.cutSent == 0 || this.otherSent == 0) {
			return Optional.empty();
		}
		double share = (double) this.cutServed / this.cutSent;
		double others = (double) this.otherServed / this.otherSent;
		int allowed = ALLOWED_FAILURES + (this.cutSent + this.otherSent) / ALLOWED_PART;
		boolean broken = share < MIN_SERVED_SHARE * others && this.cutSent - this.cutServed > allowed;
		return broken ? Optional.of(summary()) : Optional.empty();
	}

	int sent() {
		return this.cutSent;
	}

	int served() {
		return this.cutServed;
	}

	/**
	 * Returns the counts.
	 * @return text with the first tries served and sent
	 */
	String summary() {
		return "hosts that were cut off served " + this.cutServed + " of " + this.cutSent + " first tries, the others "
				+ this.otherServed + " of " + this.otherSent;
	}

}
