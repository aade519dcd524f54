package io.sequoialink.gateway.path;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.relay.Peer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Hosts that are not asked for connections for a while, since they could not help.
 * Confined to the event loop.
 */
final class LeftOutHosts {

	private static final Logger logger = LoggerFactory.getLogger(LeftOutHosts.class);

	/** Time for which a host is left out that could not tell whether it is cut off. */
	private static final long UNDECIDED_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	/** Time for which a host that could not help is left out. */
	private static final long LEFT_OUT_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** Each further failure in a row doubles that time, this many times at most. */
	private static final int MAX_DOUBLINGS = 4;

	/** Time after which a failure no longer counts as one in a row with the next. */
	private static final long FORGOTTEN_NANOS = TimeUnit.MINUTES.toNanos(1);

	private final String service;

	private final LongSupplier clock;

	private final Map<String, Failures> hosts = new HashMap<>();

	/**
	 * Creates a set without hosts.
	 * @param service the service whose servers the hosts are not asked for, for the log
	 * @param clock monotonic time in nanoseconds
	 */
	LeftOutHosts(String service, LongSupplier clock) {
		this.service = service;
		this.clock = clock;
	}

	/**
	 * Returns whether a host is left out now.
	 * @param peer the host
	 * @return whether not to ask it
	 */
	boolean contains(Peer peer) {
		Failures failures = this.hosts.get(peer.host());
		return failures != null && this.clock.getAsLong() - failures.untilNanos < 0;
	}

	/**
	 * Leaves a host out for the shortest time, unless it is left out already.
	 * @param peer the host
	 * @param reason why, for the log
	 */
	void leaveOut(Peer peer, String reason) {
		if (!contains(peer)) {
			remove(peer);
			leaveOutLonger(peer, reason);
		}
	}

	/**
	 * Leaves a host out, for twice as long as the last time if it failed then too. What
	 * happens while it is left out has mostly the same cause and changes nothing.
	 * @param peer the host
	 * @param reason why, for the log
	 */
	void leaveOutLonger(Peer peer, String reason) {
		if (contains(peer)) {
			return;
		}
		long now = this.clock.getAsLong();
		this.hosts.values().removeIf((failures) -> now - failures.untilNanos > FORGOTTEN_NANOS);
		Failures before = this.hosts.getOrDefault(peer.host(), new Failures(0, now));
		long leftOut = LEFT_OUT_NANOS << Math.min(MAX_DOUBLINGS, before.count);
		this.hosts.put(peer.host(), new Failures(before.count + 1, now + leftOut));
		logger.info(GatewayEvents.HELPING_HOST_LEFT_OUT, peer.host(), this.service,
				TimeUnit.NANOSECONDS.toMillis(leftOut), reason);
	}

	/**
	 * Leaves a host out that can't tell whether it is cut off.
	 * @param peer the host
	 */
	void leaveOutBriefly(Peer peer) {
		this.hosts.put(peer.host(), new Failures(1, this.clock.getAsLong() + UNDECIDED_NANOS));
	}

	/**
	 * Forgets the failures of a host.
	 * @param peer the host
	 */
	void remove(Peer peer) {
		this.hosts.remove(peer.host());
	}

	/** Number of failures in a row, and when the host may be asked again. Immutable. */
	private record Failures(int count, long untilNanos) {
	}

}
