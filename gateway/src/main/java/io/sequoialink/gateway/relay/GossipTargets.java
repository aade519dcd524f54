package io.sequoialink.gateway.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Draws the hosts that get this host's news in a gossip round. Confined to the event
 * loop.
 */
public final class GossipTargets {

	/** Most hosts drawn for a round. */
	static final int HOSTS_PER_ROUND = 3;

	private final ReadForwarder peers;

	private final RandomGenerator random;

	/**
	 * Creates a source of targets.
	 * @param peers the other hosts
	 * @param random draws the hosts
	 */
	public GossipTargets(ReadForwarder peers, RandomGenerator random) {
		this.peers = peers;
		this.random = random;
	}

	/**
	 * Draws up to three hosts, one of them in this host's availability zone if possible.
	 * @return the hosts, none if no other is known
	 */
	public Set<Peer> draw() {
		List<Peer> others = this.peers.otherPeers();
		Set<Peer> chosen = new HashSet<>();
		if (others.isEmpty()) {
			return chosen;
		}
		List<Peer> sameZone = others.stream().filter((peer) -> peer.zone().equals(this.peers.self().zone())).toList();
		chosen.add(drawFrom(sameZone.isEmpty() ? others : sameZone));
		for (int i = 1; i < HOSTS_PER_ROUND; i++) {
			chosen.add(drawFrom(others));
		}
		return chosen;
	}

	private Peer drawFrom(List<Peer> from) {
		return from.get(this.random.nextInt(from.size()));
	}

}
