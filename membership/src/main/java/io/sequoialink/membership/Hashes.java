package io.sequoialink.membership;

/**
 * Hashes for digests and rendezvous order; not for authentication. Stateless and
 * thread-safe.
 */
final class Hashes {

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private Hashes() {
	}

	static long of(String text, long salt) {
		long hash = FNV_OFFSET ^ mix(salt);
		for (int i = 0; i < text.length(); i++) {
			hash = (hash ^ text.charAt(i)) * FNV_PRIME;
		}
		return mix(hash);
	}

	private static long mix(long value) {
		long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
		return mixed ^ (mixed >>> 31);
	}

}
