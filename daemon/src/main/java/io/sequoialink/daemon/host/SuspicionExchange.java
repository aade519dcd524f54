package io.sequoialink.daemon.host;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.sequoialink.decision.CrashGuard;
import io.sequoialink.membership.Member;
import io.sequoialink.membership.Peers;
import io.sequoialink.model.Identifiers;
import io.sequoialink.router.Clock;

/**
 * Tells every peer which request fingerprints this host suspects to crash servers, as
 * soon as one is added. Thread-safe; the turn is confined to its duty.
 */
final class SuspicionExchange {

	private static final String TOPIC = "suspects";

	private static final int MOST_FINGERPRINTS = 1_000;

	private final Peers peers;

	private final CrashGuard guard;

	private List<String> told = List.of();

	SuspicionExchange(Peers peers, CrashGuard guard) {
		this.peers = peers;
		this.guard = guard;
		peers.subscribe(TOPIC, this::receive);
	}

	void tellIfChanged() {
		List<String> suspects = this.guard.suspectedFingerprints(Clock.SYSTEM.monotonicMillis());
		if (suspects.isEmpty() || suspects.equals(this.told)) {
			return;
		}
		this.told = suspects;
		List<String> newest = suspects.subList(Math.max(0, suspects.size() - MOST_FINGERPRINTS), suspects.size());
		List<Member> others = new ArrayList<>(this.peers.members());
		others.removeIf((member) -> member.host().equals(this.peers.self().host()));
		this.peers.send(TOPIC, String.join("\n", newest).getBytes(StandardCharsets.US_ASCII), others);
	}

	private void receive(Peers.PeerMessage message) {
		long now = Clock.SYSTEM.monotonicMillis();
		new String(message.payload(), StandardCharsets.US_ASCII).lines()
			.limit(MOST_FINGERPRINTS)
			.filter(Identifiers::valid)
			.forEach((fingerprint) -> this.guard.addPeerSuspicion(message.sender().host(), fingerprint, now));
	}

}
