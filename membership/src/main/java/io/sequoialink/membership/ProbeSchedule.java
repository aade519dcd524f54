package io.sequoialink.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.sequoialink.model.HostId;

/**
 * The probes that wait for an ack: those that this host started, and those that it
 * carries for others. Bounded; not thread-safe.
 */
final class ProbeSchedule {

	static final int MAX_RELAYS = 256;

	private final Map<Long, Probe> probes = new HashMap<>();

	private final Map<Long, Relay> relays = new HashMap<>();

	private final GossipSettings settings;

	private long nextProbe;

	private int turn;

	ProbeSchedule(GossipSettings settings) {
		this.settings = settings;
	}

	/**
	 * Picks the next member to probe, each in its turn.
	 * @param watched the members to probe
	 * @return the next one, or empty if there is none
	 */
	Optional<Member> next(List<Member> watched) {
		if (watched.isEmpty()) {
			return Optional.empty();
		}
		this.turn = (this.turn + 1) % watched.size();
		return Optional.of(watched.get(this.turn));
	}

	long start(Member target, long nowMillis) {
		this.nextProbe++;
		this.probes.put(this.nextProbe, new Probe(target, nowMillis));
		return this.nextProbe;
	}

	/**
	 * Starts a probe for another host.
	 * @param origin the host that asked
	 * @param originProbe the number that its ack must carry
	 * @param nowMillis the time
	 * @return the number of the new probe, or empty if too many are under way
	 */
	Optional<Long> relay(HostId origin, long originProbe, long nowMillis) {
		if (this.relays.size() >= MAX_RELAYS) {
			return Optional.empty();
		}
		this.nextProbe++;
		this.relays.put(this.nextProbe, new Relay(origin, originProbe, nowMillis));
		return Optional.of(this.nextProbe);
	}

	/**
	 * Ends a probe.
	 * @param probe the number that an ack carries
	 * @return the relay that the ack must be passed on to, if there is one
	 */
	Optional<Relay> acknowledge(long probe) {
		this.probes.remove(probe);
		return Optional.ofNullable(this.relays.remove(probe));
	}

	/**
	 * Returns the probes that need the help of others now, each once.
	 * @param nowMillis the time
	 * @return the numbers with their targets
	 */
	Map<Long, Member> needingHelp(long nowMillis) {
		Map<Long, Member> needing = new HashMap<>();
		this.probes.forEach((number, probe) -> {
			if (!probe.indirect && nowMillis - probe.sinceMillis >= this.settings.indirectAfter().toMillis()) {
				probe.indirect = true;
				needing.put(number, probe.target);
			}
		});
		return needing;
	}

	List<Member> takeFailed(long nowMillis) {
		long limit = this.settings.suspectAfter().toMillis();
		this.relays.values().removeIf((relay) -> nowMillis - relay.sinceMillis() > limit);
		List<Member> failed = new ArrayList<>();
		Iterator<Probe> iterator = this.probes.values().iterator();
		while (iterator.hasNext()) {
			Probe probe = iterator.next();
			if (nowMillis - probe.sinceMillis >= limit) {
				failed.add(probe.target);
				iterator.remove();
			}
		}
		return failed;
	}

	/** Forgets the own probes, whose acks this host could not have heard. */
	void abandon() {
		this.probes.clear();
	}

	/**
	 * A probe carried for another host. Immutable and thread-safe.
	 *
	 * @param origin the host that asked
	 * @param originProbe the number that its ack must carry
	 * @param sinceMillis when it was asked for
	 */
	record Relay(HostId origin, long originProbe, long sinceMillis) {
	}

	/** A probe of this host. */
	private static final class Probe {

		private final Member target;

		private final long sinceMillis;

		private boolean indirect;

		private Probe(Member target, long sinceMillis) {
			this.target = target;
			this.sinceMillis = sinceMillis;
		}

	}

}
