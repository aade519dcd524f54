package io.sequoialink.decision.rollout;

import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;

import io.sequoialink.model.HostId;

/** Hash functions that give the same result on every host. Stateless and thread-safe. */
public final class Hashes {

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private static final double TWO_TO_53 = 0x1.0p53;

	private Hashes() {
	}

	/**
	 * Returns a well-mixed hash of two strings.
	 * @param first the first string
	 * @param second the second string
	 * @return 64-bit hash
	 */
	public static long of(String first, String second) {
		long hash = FNV_OFFSET;
		for (int i = 0; i < first.length(); i++) {
			hash = (hash ^ first.charAt(i)) * FNV_PRIME;
		}
		hash = (hash ^ '/') * FNV_PRIME;
		for (int i = 0; i < second.length(); i++) {
			hash = (hash ^ second.charAt(i)) * FNV_PRIME;
		}
		return mix(hash);
	}

	/**
	 * Maps two strings to a pseudo-random number in [0, 1).
	 * @param first the first string
	 * @param second the second string
	 * @return the number
	 */
	public static double position(String first, String second) {
		return (of(first, second) >>> 11) / TWO_TO_53;
	}

	/**
	 * Returns the rank of a host for a key by rendezvous hashing.
	 * @param key name of an object, such as a roll-out, for which one host at a time is
	 * responsible
	 * @param self the host
	 * @param members the live hosts, with or without {@code self}
	 * @return 0 if the host is responsible for the key (its owner), 1 if it takes over
	 * when that host fails, and so on
	 */
	public static int rank(String key, HostId self, List<HostId> members) {
		long own = of(key, self.value());
		int rank = 0;
		for (HostId member : members) {
			long other = of(key, member.value());
			boolean ahead = other > own || (other == own && member.compareTo(self) < 0);
			rank += (ahead && !member.equals(self)) ? 1 : 0;
		}
		return rank;
	}

	/**
	 * Returns the host that is responsible for a key (its owner), chosen by rendezvous
	 * hashing.
	 * @param key name of an object, such as a roll-out, for which one host at a time is
	 * responsible
	 * @param self this host
	 * @param members the live hosts
	 * @return the owner; this host if there is no live host
	 */
	public static HostId owner(String key, HostId self, Supplier<List<HostId>> members) {
		List<HostId> live = members.get();
		return live.stream()
			.max(Comparator.comparingLong((HostId host) -> of(key, host.value()))
				.thenComparing(Comparator.<HostId>naturalOrder().reversed()))
			.orElse(self);
	}

	private static long mix(long value) {
		long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
		return mixed ^ (mixed >>> 31);
	}

}
