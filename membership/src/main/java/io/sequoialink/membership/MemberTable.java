package io.sequoialink.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.sequoialink.membership.Member.State;
import io.sequoialink.model.HostId;

/**
 * What one host holds to be true of all hosts. A state machine without sockets, threads
 * or a clock of its own; not thread-safe. Invariants: the entry of a host never goes back
 * in the order of {@link MemberUpdate}; of two members at one address only the one with
 * the higher incarnation is present; this host is never held suspect or dead by itself.
 */
final class MemberTable {

	static final int MAX_MEMBERS = 4096;

	static final int BUCKETS = 16;

	private final TreeMap<HostId, Entry> entries = new TreeMap<>();

	private final Map<String, HostId> hostAt = new HashMap<>();

	private final HostId self;

	private final long deadAfterMillis;

	private final long forgetAfterMillis;

	private List<Member> present;

	private long rosterVersion;

	private long digestVersion = -1;

	private long rosterDigest;

	MemberTable(Member self, GossipSettings settings) {
		this.self = self.host();
		this.deadAfterMillis = settings.deadAfter().toMillis();
		this.forgetAfterMillis = settings.forgetAfter().toMillis();
		put(new MemberUpdate(self, 0), 0);
	}

	MemberUpdate self() {
		return this.entries.get(this.self).update;
	}

	Optional<MemberUpdate> update(HostId host) {
		return Optional.ofNullable(this.entries.get(host)).map((entry) -> entry.update);
	}

	/**
	 * Returns the members that are not dead.
	 * @return the members in the order of their host ids
	 */
	List<Member> present() {
		if (this.present == null) {
			this.present = updates().stream()
				.map(MemberUpdate::member)
				.filter((member) -> member.state() != State.DEAD)
				.toList();
		}
		return this.present;
	}

	/**
	 * Returns a digest of hosts and incarnations of all present members.
	 * @return the digest
	 */
	long rosterDigest() {
		if (this.digestVersion != this.rosterVersion) {
			this.rosterDigest = present().stream().mapToLong(MemberTable::digest).reduce(0, (a, b) -> a ^ b);
			this.digestVersion = this.rosterVersion;
		}
		return this.rosterDigest;
	}

	/**
	 * Returns a number that changes with every change of a member but for its revision.
	 * @return the number
	 */
	long rosterVersion() {
		return this.rosterVersion;
	}

	List<MemberUpdate> dead() {
		return updates().stream().filter((update) -> update.is(State.DEAD)).toList();
	}

	/**
	 * Merges an update that a peer sent.
	 * @param update the update
	 * @param nowMillis the time
	 * @return the updates that are news and must be passed on
	 */
	List<MemberUpdate> apply(MemberUpdate update, long nowMillis) {
		if (update.member().host().equals(this.self)) {
			return contradict(update, nowMillis);
		}
		Entry known = this.entries.get(update.member().host());
		if (known == null && this.entries.size() >= MAX_MEMBERS) {
			return List.of();
		}
		if (known != null && !update.supersedes(known.update)) {
			return List.of();
		}
		long revision = (known != null && sameProcess(known.update, update)) ? known.update.member().viewRevision()
				: -1;
		List<MemberUpdate> news = new ArrayList<>();
		news.add(put(settleAddress(update.withRevision(revision), news, nowMillis), nowMillis));
		return news;
	}

	/**
	 * Suspects a present member.
	 * @param host the member
	 * @param nowMillis the time
	 * @return the update to pass on, or empty if it is no news
	 */
	Optional<MemberUpdate> suspect(HostId host, long nowMillis) {
		Entry entry = this.entries.get(host);
		if (entry == null || host.equals(this.self) || !entry.update.is(State.ALIVE)) {
			return Optional.empty();
		}
		return Optional.of(put(entry.update.withState(State.SUSPECT), nowMillis));
	}

	/**
	 * Gives up members whose time to contradict has passed, and forgets old dead ones.
	 * @param nowMillis the time
	 * @return the updates to pass on
	 */
	List<MemberUpdate> expire(long nowMillis) {
		List<MemberUpdate> news = new ArrayList<>();
		for (Entry entry : List.copyOf(this.entries.values())) {
			boolean waiting = entry.update.is(State.SUSPECT) || entry.update.is(State.LEAVING);
			if (waiting && !isSelf(entry) && nowMillis - entry.sinceMillis >= this.deadAfterMillis) {
				news.add(put(entry.update.withState(State.DEAD), nowMillis));
			}
		}
		this.entries.values()
			.removeIf((entry) -> entry.update.is(State.DEAD) && nowMillis - entry.sinceMillis > this.forgetAfterMillis);
		return news;
	}

	/**
	 * Moves all deadlines, after a time in which this host could not hear its peers.
	 * @param millis the length of that time
	 */
	void extendDeadlines(long millis) {
		this.entries.values().forEach((entry) -> entry.sinceMillis += millis);
	}

	/**
	 * Marks this host as leaving.
	 * @param nowMillis the time
	 * @return the update to pass on
	 */
	MemberUpdate leave(long nowMillis) {
		return put(self().withState(State.LEAVING), nowMillis);
	}

	void noteRevision(HostId host, long revision) {
		Entry entry = this.entries.get(host);
		if (entry != null && entry.update.member().viewRevision() < revision) {
			entry.update = entry.update.withRevision(revision);
			this.present = null;
		}
	}

	/**
	 * Merges the knowledge that some members have folded a revision.
	 * @param revision the revision
	 * @param confirmed bit i stands for present member i
	 */
	void noteConfirmed(long revision, byte[] confirmed) {
		List<Member> roster = present();
		for (int i = 0; i < Math.min(roster.size(), confirmed.length * Byte.SIZE); i++) {
			boolean bit = (confirmed[i / Byte.SIZE] & (1 << (i % Byte.SIZE))) != 0;
			Member member = roster.get(i);
			if (bit && member.viewRevision() < revision && !member.host().equals(this.self)) {
				noteRevision(member.host(), revision);
			}
		}
	}

	/**
	 * Returns which present members are known to have folded a revision.
	 * @param revision the revision
	 * @return bit i stands for present member i
	 */
	byte[] confirmed(long revision) {
		List<Member> roster = present();
		byte[] bits = new byte[(roster.size() + Byte.SIZE - 1) / Byte.SIZE];
		for (int i = 0; i < roster.size(); i++) {
			if (roster.get(i).viewRevision() >= revision) {
				bits[i / Byte.SIZE] |= (byte) (1 << (i % Byte.SIZE));
			}
		}
		return bits;
	}

	long[] bucketDigests() {
		long[] digests = new long[BUCKETS];
		present().forEach((member) -> digests[bucket(member)] ^= digest(member));
		return digests;
	}

	/**
	 * Returns every entry in the buckets that differ from a peer's.
	 * @param theirs the peer's digests
	 * @return the updates, those of dead members among them
	 */
	List<MemberUpdate> differing(long[] theirs) {
		long[] ours = bucketDigests();
		return updates().stream().filter((update) -> {
			int bucket = bucket(update.member());
			return bucket >= theirs.length || ours[bucket] != theirs[bucket];
		}).toList();
	}

	private Collection<MemberUpdate> updates() {
		return this.entries.values().stream().map((entry) -> entry.update).toList();
	}

	private List<MemberUpdate> contradict(MemberUpdate update, long nowMillis) {
		MemberUpdate own = self();
		boolean wrong = update.is(State.SUSPECT) || update.is(State.DEAD);
		if (!wrong || !sameProcess(own, update) || update.refutation() < own.refutation()) {
			return List.of();
		}
		return List.of(put(own.withRefutation(update.refutation() + 1), nowMillis));
	}

	private MemberUpdate settleAddress(MemberUpdate update, List<MemberUpdate> news, long nowMillis) {
		if (update.is(State.DEAD)) {
			return update;
		}
		Entry rival = entryAt(address(update.member()));
		if (rival == null || rival.update.member().host().equals(update.member().host())) {
			return update;
		}
		if (isSelf(rival) || rival.update.member().incarnation() >= update.member().incarnation()) {
			return update.withState(State.DEAD);
		}
		news.add(put(rival.update.withState(State.DEAD), nowMillis));
		return update;
	}

	private Entry entryAt(String address) {
		HostId host = this.hostAt.get(address);
		return (host != null) ? this.entries.get(host) : null;
	}

	private MemberUpdate put(MemberUpdate update, long nowMillis) {
		HostId host = update.member().host();
		Entry previous = this.entries.put(host, new Entry(update, nowMillis));
		if (previous != null) {
			this.hostAt.remove(address(previous.update.member()), host);
		}
		if (!update.is(State.DEAD)) {
			this.hostAt.put(address(update.member()), host);
		}
		this.present = null;
		this.rosterVersion++;
		return update;
	}

	private boolean isSelf(Entry entry) {
		return entry.update.member().host().equals(this.self);
	}

	private static boolean sameProcess(MemberUpdate one, MemberUpdate two) {
		return one.member().incarnation() == two.member().incarnation();
	}

	private static String address(Member member) {
		return member.ip() + "|" + member.port();
	}

	private static long digest(Member member) {
		return Hashes.of(member.host().value(), member.incarnation());
	}

	private static int bucket(Member member) {
		return (int) Long.remainderUnsigned(Hashes.of(member.host().value(), BUCKETS), BUCKETS);
	}

	/** A host's newest update and when it was learnt. */
	private static final class Entry {

		private MemberUpdate update;

		private long sinceMillis;

		private Entry(MemberUpdate update, long sinceMillis) {
			this.update = update;
			this.sinceMillis = sinceMillis;
		}

	}

}
