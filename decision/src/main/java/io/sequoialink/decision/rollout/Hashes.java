package io.sequoialink.decision.rollout;

import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;

import io.sequoialink.model.HostId;

/**
 * Hashes that every host computes alike. Stateless and thread-safe.
 */
public final class Hashes {

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private static final double TWO_TO_53 = 0x1.0p53;

	private Hashes() {
	}

	/**
	 * Returns a well-mixed hash of two texts.
	 * @param first the first text
	 * @param second the second text
	 * @return 64 bits
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
	 * Returns a position in [0, 1) for two texts.
	 * @param first the first text
	 * @param second the second text
	 * @return the position
	 */
	public static double position(String first, String second) {
		return (of(first, second) >>> 11) / TWO_TO_53;
	}

	/**
	 * Returns the rank of a host for a key by rendezvous hashing.
	 * @param key what is to be owned
	 * @param self the host
	 * @param members the live hosts, with or without {@code self}
	 * @return 0 if the host is the owner, 1 if it comes next, ...
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
	 * Returns the owner of a key by rendezvous hashing.
	 * @param key what is to be owned
	 * @param self this host
	 * @param members the live hosts
	 * @return the owner; this host if there is no other
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
