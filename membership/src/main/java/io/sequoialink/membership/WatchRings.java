package io.sequoialink.membership;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import io.sequoialink.membership.Member.State;

/**
 * The few members that a host probes and gossips with. All hosts stand on
 * {@link #ZONE_RINGS} rings of their availability zone and on {@link #FLEET_RINGS} rings
 * of the whole fleet, each ordered by another hash. A host watches its successor on each
 * ring, so it watches at most as many members as there are rings and is watched by as
 * many, however large the fleet is. Immutable and thread-safe.
 *
 * @param watched the successors, each once
 * @param neighbours successors and predecessors, each once
 */
record WatchRings(List<Member> watched, List<Member> neighbours) {

	static final int ZONE_RINGS = 2;

	static final int FLEET_RINGS = 3;

	static WatchRings of(Member self, List<Member> present) {
		List<Member> fleet = present.stream().filter((member) -> isWatched(self, member)).toList();
		List<Member> zone = fleet.stream().filter((member) -> member.zone().equals(self.zone())).toList();
		Set<Member> successors = new LinkedHashSet<>();
		Set<Member> predecessors = new LinkedHashSet<>();
		for (int ring = 0; ring < ZONE_RINGS + FLEET_RINGS; ring++) {
			List<Member> order = order((ring < ZONE_RINGS) ? zone : fleet, ring);
			int place = order.indexOf(self);
			successors.add(order.get((place + 1) % order.size()));
			predecessors.add(order.get((place + order.size() - 1) % order.size()));
		}
		successors.remove(self);
		predecessors.remove(self);
		Set<Member> both = new LinkedHashSet<>(successors);
		both.addAll(predecessors);
		return new WatchRings(List.copyOf(successors), List.copyOf(both));
	}

	private static boolean isWatched(Member self, Member member) {
		return member.state() != State.LEAVING || member.equals(self);
	}

	private static List<Member> order(List<Member> members, int ring) {
		return members.stream()
			.map((member) -> new Place(Hashes.of(member.host().value(), ring), member))
			.sorted(Comparator.comparingLong(Place::hash).thenComparing((place) -> place.member().host()))
			.map(Place::member)
			.toList();
	}

	/**
	 * A member's place on a ring.
	 *
	 * @param hash orders the ring
	 * @param member the member
	 */
	private record Place(long hash, Member member) {
	}

}
