package io.sequoialink.daemon.host;

import java.util.Comparator;
import java.util.List;

import io.sequoialink.model.HostId;

/**
 * Picks hosts for duties by rendezvous hashing: every host that knows the same members
 * picks the same ones, and a change of members moves few duties. Stateless and
 * thread-safe.
 */
final class Rendezvous {

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private Rendezvous() {
	}

	static List<HostId> pick(String duty, List<HostId> hosts, int count) {
		return hosts.stream()
			.sorted(Comparator.comparingLong((HostId host) -> weight(duty, host)).thenComparing(HostId::compareTo))
			.limit(count)
			.toList();
	}

	private static long weight(String duty, HostId host) {
		long hash = FNV_OFFSET;
		String text = duty + '/' + host.value();
		for (int i = 0; i < text.length(); i++) {
			hash = (hash ^ text.charAt(i)) * FNV_PRIME;
		}
		hash = (hash ^ (hash >>> 32)) * 0x9E3779B97F4A7C15L;
		return hash ^ (hash >>> 29);
	}

}
