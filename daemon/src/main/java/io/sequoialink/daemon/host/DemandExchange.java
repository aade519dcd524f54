package io.sequoialink.daemon.host;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import io.sequoialink.decision.limits.FleetAdmissionPolicy;
import io.sequoialink.membership.Member;
import io.sequoialink.membership.Peers;
import io.sequoialink.router.Clock;

/**
 * Tells peers this host's demand under the limits of client accounts and takes theirs.
 * Each turn reaches a bounded number of peers, so that the bytes that a host sends do not
 * grow with the fleet. Thread-safe.
 */
final class DemandExchange {

	/** The most peers that one turn reaches. */
	static final int RECEIVERS_A_TURN = 8;

	private static final String TOPIC = "demand";

	private final Peers peers;

	private final FleetAdmissionPolicy policy;

	private final Random random;

	DemandExchange(Peers peers, FleetAdmissionPolicy policy, long seed) {
		this.peers = peers;
		this.policy = policy;
		this.random = new Random(seed);
		peers.subscribe(TOPIC,
				(message) -> policy.applyAnnouncement(message.payload(), Clock.SYSTEM.monotonicMillis()));
	}

	void send() {
		byte[] payload = this.policy.announceDemand(Clock.SYSTEM.monotonicMillis());
		List<Member> others = new ArrayList<>(this.peers.members());
		others.removeIf((member) -> member.host().equals(this.peers.self().host()));
		Collections.shuffle(others, this.random);
		this.peers.send(TOPIC, payload, others.subList(0, Math.min(RECEIVERS_A_TURN, others.size())));
	}

}
