package io.sequoialink.decision.observation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which servers' changes are still to be sent by gossip. Confined to one thread.
 *
 * <p>
 * Invariant: a change is sent in a fixed number of rounds and not again. Each host that
 * learns of the change sends it in as many rounds.
 */
public final class GossipRounds {

	/** Number of rounds in which a host sends a change. */
	public static final int ROUNDS_PER_CHANGE = 6;

	private final Map<Long, Integer> roundsLeft = new HashMap<>();

	/**
	 * Called when what is known of a server has changed.
	 * @param server hash of the server's incarnation
	 */
	public void changed(long server) {
		this.roundsLeft.put(server, ROUNDS_PER_CHANGE);
	}

	/**
	 * Called when a peer knows less of a server than this host; sends it once more.
	 * @param server hash of the server's incarnation
	 */
	public void peerIsBehind(long server) {
		this.roundsLeft.putIfAbsent(server, 1);
	}

	/**
	 * Returns whether nothing is to be sent.
	 * @return whether the next selection is empty
	 */
	public boolean isEmpty() {
		return this.roundsLeft.isEmpty();
	}

	/**
	 * Selects the servers for a round; the ones sent in the fewest rounds come first.
	 * @param max maximum number of servers
	 * @return hashes of the servers
	 */
	public List<Long> select(int max) {
		List<Long> changed = new ArrayList<>(this.roundsLeft.keySet());
		changed.sort(Comparator.comparing(this.roundsLeft::get).reversed());
		List<Long> selected = List.copyOf(changed.subList(0, Math.min(max, changed.size())));
		selected
			.forEach((server) -> this.roundsLeft.computeIfPresent(server, (key, left) -> (left > 1) ? left - 1 : null));
		return selected;
	}

	/**
	 * Drops the changes of all other servers.
	 * @param servers hashes of the servers to keep
	 */
	public void retainAll(Set<Long> servers) {
		this.roundsLeft.keySet().retainAll(servers);
	}

	/**
	 * Drops all changes.
	 */
	public void clear() {
		this.roundsLeft.clear();
	}

}
