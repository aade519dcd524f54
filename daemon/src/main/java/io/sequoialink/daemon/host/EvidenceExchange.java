package io.sequoialink.daemon.host;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import io.sequoialink.decision.RolloutPolicy;
import io.sequoialink.membership.Member;
import io.sequoialink.membership.Peers;

/**
 * Sends this host's evidence about versions to a few peers each turn and merges theirs.
 * Thread-safe.
 */
final class EvidenceExchange {

	private static final String TOPIC = "evidence";

	private static final int RECEIVERS_A_TURN = 3;

	private final Peers peers;

	private final RolloutPolicy policy;

	private final Random random;

	EvidenceExchange(Peers peers, RolloutPolicy policy, long seed) {
		this.peers = peers;
		this.policy = policy;
		this.random = new Random(seed);
		peers.subscribe(TOPIC, (message) -> policy.mergeStatistics(message.payload()));
	}

	void send() {
		byte[] payload = this.policy.exportStatistics();
		if (payload.length == 0) {
			return;
		}
		List<Member> others = new ArrayList<>(this.peers.members());
		others.removeIf((member) -> member.host().equals(this.peers.self().host()));
		Collections.shuffle(others, this.random);
		this.peers.send(TOPIC, payload, others.subList(0, Math.min(RECEIVERS_A_TURN, others.size())));
	}

}
