package io.sequoialink.membership;

import java.time.Duration;
import java.util.Objects;

/**
 * Intervals and bounds of the peer protocol. Immutable and thread-safe.
 *
 * @param probeInterval time between two probes that a host starts
 * @param indirectAfter time without an ack after which other hosts are asked to probe
 * @param suspectAfter time without an ack after which a member is suspected
 * @param deadAfter time that a suspected member has to contradict; longer than the
 * longest pause that hosts shall survive
 * @param forgetAfter time for which dead members are remembered and tried again; longer
 * than the longest separation of regions that heals by itself
 * @param isolationLimit time for which a host that hears nobody suspects nobody
 */
public record GossipSettings(Duration probeInterval, Duration indirectAfter, Duration suspectAfter, Duration deadAfter,
		Duration forgetAfter, Duration isolationLimit) {

	/** Settings for entry hosts within a region or two. */
	public static final GossipSettings DEFAULT = new GossipSettings(Duration.ofMillis(500), Duration.ofMillis(500),
			Duration.ofSeconds(2), Duration.ofSeconds(8), Duration.ofHours(2), Duration.ofMinutes(1));

	public GossipSettings {
		requirePositive(probeInterval, "probeInterval");
		requirePositive(indirectAfter, "indirectAfter");
		requirePositive(suspectAfter, "suspectAfter");
		requirePositive(deadAfter, "deadAfter");
		requirePositive(forgetAfter, "forgetAfter");
		requirePositive(isolationLimit, "isolationLimit");
	}

	private static void requirePositive(Duration value, String name) {
		Objects.requireNonNull(value, name);
		if (value.toMillis() <= 0) {
			throw new IllegalArgumentException(name + " is " + value + ": use at least one millisecond");
		}
	}

}
