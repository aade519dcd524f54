package io.sequoialink.soak;

import java.util.List;
import java.util.Random;

/**
 * Leaves odd entries among those of the servers and of the hosts, as another writer of
 * the store may. Used by one thread.
 */
final class OddWriter {

	private static final int SEED_MASK = 0x0DD5;

	private static final List<String> TOPICS_AND_KEYS = List.of("servers odd-1", "servers odd-2",
			"status evidence/app/h99", "status crash/h99", "status host/h99", "status rollout/app", "status blocked/zz",
			"op odd");

	private static final List<String> VALUES = List.of("[".repeat(50_000), "{\"a\":".repeat(50_000), "7", "{",
			"{\"slots\":" + "9".repeat(3000) + "}", odd("127.0.0.1:0", "8", "5"), odd("127.0.0.1:70000", "8", "5"),
			odd("127.0.0.1:1", "2147483647", "5"), odd("127.0.0.1:1", "8", "1e400"));

	private final Random random;

	private final SimulatedStore store;

	OddWriter(long seed, SimulatedStore store) {
		this.random = new Random(seed ^ SEED_MASK);
		this.store = store;
	}

	private static String odd(String address, String slots, String born) {
		return "{\"service\":\"app\",\"address\":\"" + address
				+ "\",\"zone\":\"a\",\"version\":\"v1\",\"state\":\"ready\",\"slots\":" + slots + ",\"born\":" + born
				+ "}";
	}

	/**
	 * Writes an entry in 1 of 3 calls.
	 */
	void writeAtRandom() {
		String[] place = TOPICS_AND_KEYS.get(this.random.nextInt(TOPICS_AND_KEYS.size())).split(" ");
		String value = VALUES.get(this.random.nextInt(VALUES.size()));
		if (this.random.nextInt(3) == 0) {
			this.store.put(place[0], place[1], value);
		}
	}

}
