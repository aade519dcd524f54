package io.sequoialink.membership;

import java.util.Comparator;
import java.util.Objects;

import io.sequoialink.membership.Member.State;

/**
 * What is said of a member at one time. Immutable and thread-safe. Updates of one host
 * are totally ordered by incarnation, refutation and state; the highest one counts.
 *
 * @param member the member
 * @param refutation raised by the member itself to contradict a suspicion
 */
record MemberUpdate(Member member, int refutation) {

	private static final Comparator<MemberUpdate> ORDER = Comparator
		.comparingLong((MemberUpdate update) -> update.member().incarnation())
		.thenComparingInt(MemberUpdate::refutation)
		.thenComparing((update) -> update.member().state());

	MemberUpdate {
		Objects.requireNonNull(member, "member");
	}

	boolean supersedes(MemberUpdate other) {
		return ORDER.compare(this, other) > 0;
	}

	boolean is(State state) {
		return this.member.state() == state;
	}

	MemberUpdate withState(State state) {
		return new MemberUpdate(copy(state, this.member.viewRevision()), this.refutation);
	}

	MemberUpdate withRefutation(int newRefutation) {
		return new MemberUpdate(this.member, newRefutation);
	}

	MemberUpdate withRevision(long revision) {
		return new MemberUpdate(copy(this.member.state(), revision), this.refutation);
	}

	private Member copy(State state, long revision) {
		return new Member(this.member.host(), this.member.incarnation(), this.member.ip(), this.member.port(),
				this.member.zone(), state, revision);
	}

}
