package io.sequoialink.gateway.rollout;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import io.sequoialink.decision.rollout.AnswerCounts;
import io.sequoialink.decision.rollout.BadAnswerTest;

/**
 * The answers of one roll-out's versions as this host and the others saw them. Confined
 * to the event loop.
 */
final class SharedEvidence {

	/**
	 * Time after which a good stream counts, in nanoseconds: longer than it takes to see
	 * that one is slow, so that many new sends don't look good at first because the quick
	 * ones end first.
	 */
	static final long GOOD_COUNTS_AFTER_NANOS = 2_500_000_000L;

	private final String host;

	private final BadAnswerTest test;

	private final Map<String, RouteEvidence> own = new HashMap<>();

	private final Map<String, HostEvidence> others = new HashMap<>();

	private final Deque<GoodStream> recentGood = new ArrayDeque<>();

	private boolean publishedOwn;

	SharedEvidence(String host, BadAnswerTest test) {
		this.host = host;
		this.test = test;
	}

	/**
	 * Notes an answer that this host saw.
	 * @param route route of the request
	 * @param ofTarget whether the new version gave it
	 * @param bad whether it was a failure or several times slower than usual
	 * @param streamed whether it was a stream, which takes a while to be seen as slow
	 * @param nowNanos monotonic time
	 */
	void answered(String route, boolean ofTarget, boolean bad, boolean streamed, long nowNanos) {
		if (bad || !streamed) {
			count(route, ofTarget, bad);
		}
		else {
			this.recentGood.addLast(new GoodStream(route, ofTarget, nowNanos));
		}
	}

	private void count(String route, boolean ofTarget, boolean bad) {
		this.own.put(route, this.own.getOrDefault(route, RouteEvidence.NONE).with(ofTarget, bad));
	}

	/**
	 * Counts the good streams that are old enough.
	 * @param nowNanos monotonic time
	 */
	void settle(long nowNanos) {
		while (!this.recentGood.isEmpty()
				&& nowNanos - this.recentGood.peekFirst().atNanos() >= GOOD_COUNTS_AFTER_NANOS) {
			GoodStream good = this.recentGood.pollFirst();
			count(good.route(), good.ofTarget(), false);
		}
	}

	/**
	 * Takes what a host saw. What this host published in an earlier life is added to what
	 * it sees now.
	 * @param evidence the evidence
	 */
	void take(HostEvidence evidence) {
		if (!evidence.host().equals(this.host)) {
			this.others.put(evidence.host(), evidence);
		}
		else if (!this.publishedOwn) {
			this.publishedOwn = true;
			evidence.routes().forEach((route, counts) -> this.own.merge(route, counts, RouteEvidence::plus));
		}
	}

	/**
	 * Notes that this host has published what it saw: records of its own that it reads
	 * from now on are not of an earlier life.
	 */
	void published() {
		this.publishedOwn = true;
	}

	/**
	 * Returns what this host saw, earlier lives included.
	 * @return the evidence by route
	 */
	Map<String, RouteEvidence> own() {
		return this.own;
	}

	/**
	 * Judges the version by what all hosts saw, over all routes and by each route.
	 * @return the judgement
	 */
	Judgement judge() {
		Map<String, RouteEvidence> sums = sums();
		AnswerCounts tested = sums.values().stream().reduce(RouteEvidence.NONE, RouteEvidence::plus).target();
		AnswerCounts reference = mixedReference(sums, tested.answers());
		boolean onOneRoute = sums.size() > 1
				&& sums.values().stream().anyMatch((route) -> this.test.worse(route.target(), route.reference()));
		return new Judgement(tested, reference, this.others.size() + 1, this.test.score(tested, reference),
				onOneRoute || this.test.worse(tested, reference), this.test.probablyWorse(tested, reference));
	}

	private Map<String, RouteEvidence> sums() {
		Map<String, RouteEvidence> sums = new HashMap<>(this.own);
		for (HostEvidence other : this.others.values()) {
			other.routes().forEach((route, counts) -> sums.merge(route, counts, RouteEvidence::plus));
		}
		return sums;
	}

	// The reference is weighted by the routes of the tested answers, since routes differ
	// in their usual share of bad answers.
	private static AnswerCounts mixedReference(Map<String, RouteEvidence> sums, long testedAnswers) {
		double expected = 0;
		long referenceAnswers = 0;
		for (RouteEvidence route : sums.values()) {
			AnswerCounts reference = route.reference();
			double share = (reference.answers() == 0) ? 0 : (double) reference.bad() / reference.answers();
			expected += share * route.target().answers();
			referenceAnswers += reference.answers();
		}
		long bad = Math.round(expected / Math.max(1, testedAnswers) * referenceAnswers);
		return new AnswerCounts(referenceAnswers, bad);
	}

	/**
	 * A good stream that does not count yet. Immutable.
	 *
	 * @param route route of the request
	 * @param ofTarget whether the new version gave it
	 * @param atNanos monotonic time of its verdict
	 */
	private record GoodStream(String route, boolean ofTarget, long atNanos) {
	}

}
