package io.sequoialink.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.sequoialink.membership.Member.State;
import io.sequoialink.model.HostId;

/**
 * News of members that wait to travel on other messages. Each is sent a number of times
 * that grows with the logarithm of the fleet, the least sent first; a newer update of a
 * host takes the place of the older one. Not thread-safe.
 */
final class UpdateQueue {

	static final int MAX_PER_MESSAGE = 8;

	private static final int TRANSMISSIONS_FACTOR = 2;

	private final Map<HostId, Pending> pending = new HashMap<>();

	void add(MemberUpdate update) {
		this.pending.put(update.member().host(), new Pending(update));
	}

	boolean isEmpty() {
		return this.pending.isEmpty();
	}

	/** Drops the news that peers with the same roster digest are known to have. */
	void dropSettled() {
		this.pending.values()
			.removeIf(
					(one) -> one.update.is(State.DEAD) || (one.update.is(State.ALIVE) && one.update.refutation() == 0));
	}

	List<MemberUpdate> take(int fleetSize) {
		int limit = TRANSMISSIONS_FACTOR * (Integer.SIZE - Integer.numberOfLeadingZeros(fleetSize));
		List<Pending> chosen = this.pending.values()
			.stream()
			.sorted(Comparator.comparingInt((Pending one) -> one.transmissions)
				.thenComparing((one) -> one.update.member().host()))
			.limit(MAX_PER_MESSAGE)
			.toList();
		List<MemberUpdate> updates = new ArrayList<>();
		for (Pending one : chosen) {
			updates.add(one.update);
			one.transmissions++;
			if (one.transmissions >= limit) {
				this.pending.remove(one.update.member().host());
			}
		}
		return updates;
	}

	/** An update and how often it was sent. */
	private static final class Pending {

		private final MemberUpdate update;

		private int transmissions;

		private Pending(MemberUpdate update) {
			this.update = update;
		}

	}

}
