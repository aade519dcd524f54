package io.sequoialink.gateway.rollout;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.sequoialink.decision.rollout.BadAnswerTest;
import io.sequoialink.decision.rollout.RouteAnswerCounts;

/**
 * Answer counts of one roll-out's versions: those of this host and those reported by the
 * other hosts. Confined to the event loop.
 */
final class FleetAnswerCounts {

	/**
	 * Time after which a good stream is counted, in nanoseconds. It exceeds the time
	 * needed to recognize a slow stream. Otherwise a version that has just received many
	 * requests looks good at first, because its fast streams end before its slow ones are
	 * recognized.
	 */
	static final long GOOD_STREAM_DELAY_NANOS = 2_500_000_000L;

	private final String host;

	private final BadAnswerTest test;

	private final Map<String, RouteAnswerCounts> ownByRoute = new HashMap<>();

	private final Map<String, HostRolloutReport> reportsOfOthers = new HashMap<>();

	// Learnt from the answers that this host received; a route that is not known counts
	// as one without streams, which needs more evidence.
	private final Set<String> streamedRoutes = new HashSet<>();

	private final Deque<PendingGoodStream> pendingGoodStreams = new ArrayDeque<>();

	private boolean ownReportsIgnored;

	FleetAnswerCounts(String host, BadAnswerTest test) {
		this.host = host;
		this.test = test;
	}

	/**
	 * Records an answer that this host received. Good streams are counted later by
	 * {@link #countDueStreams}.
	 * @param route route of the request
	 * @param ofTarget whether the new version gave the answer
	 * @param bad whether it was a failure or several times slower than usual
	 * @param streamed whether it was a stream, which is recognized as slow only after a
	 * while
	 * @param nowNanos monotonic time in nanoseconds
	 */
	void recordAnswer(String route, boolean ofTarget, boolean bad, boolean streamed, long nowNanos) {
		if (streamed) {
			this.streamedRoutes.add(route);
		}
		if (bad || !streamed) {
			count(route, ofTarget, bad);
		}
		else {
			this.pendingGoodStreams.addLast(new PendingGoodStream(route, ofTarget, nowNanos));
		}
	}

	private void count(String route, boolean ofTarget, boolean bad) {
		this.ownByRoute.put(route, this.ownByRoute.getOrDefault(route, RouteAnswerCounts.NONE).with(ofTarget, bad));
	}

	/**
	 * Counts the good streams that are older than {@link #GOOD_STREAM_DELAY_NANOS}.
	 * @param nowNanos monotonic time in nanoseconds
	 */
	void countDueStreams(long nowNanos) {
		while (!this.pendingGoodStreams.isEmpty()
				&& nowNanos - this.pendingGoodStreams.peekFirst().atNanos() >= GOOD_STREAM_DELAY_NANOS) {
			PendingGoodStream good = this.pendingGoodStreams.pollFirst();
			count(good.route(), good.ofTarget(), false);
		}
	}

	/**
	 * Replaces the counts of another host by those in its latest report. A report of an
	 * earlier process of this host is added once to this process's own counts.
	 * @param report the report
	 */
	void addReport(HostRolloutReport report) {
		if (!report.host().equals(this.host)) {
			this.reportsOfOthers.put(report.host(), report);
		}
		else if (!this.ownReportsIgnored) {
			this.ownReportsIgnored = true;
			report.countsByRoute()
				.forEach((route, counts) -> this.ownByRoute.merge(route, counts, RouteAnswerCounts::plus));
		}
	}

	/**
	 * Records that this process has published a report, so that reports of this host read
	 * from now on are not added again.
	 */
	void markPublished() {
		this.ownReportsIgnored = true;
	}

	/**
	 * Returns the counts of this host, earlier processes included.
	 * @return answer counts by route
	 */
	Map<String, RouteAnswerCounts> ownByRoute() {
		return this.ownByRoute;
	}

	/**
	 * Compares the versions by the counts of all hosts, over all routes and for each
	 * route alone. Each route is compared with its own reference, because routes differ
	 * in their usual share of bad answers.
	 * @return the comparison
	 */
	VersionComparison compare() {
		Map<String, RouteAnswerCounts> sums = totalsByRoute();
		RouteAnswerCounts all = sums.values().stream().reduce(RouteAnswerCounts.NONE, RouteAnswerCounts::plus);
		double score = this.test.score(sums.values());
		boolean onOneRoute = sums.values()
			.stream()
			.anyMatch((route) -> this.test.isWorse(route.target(), route.reference()));
		boolean evidenceNeeded = mostlyWithoutStreams(sums);
		double goodScore = evidenceNeeded ? this.test.goodScore(sums.values()) : 0;
		boolean clearlyWorse = evidenceNeeded && this.test.isClearlyWorse(sums.values());
		boolean shownGood = !evidenceNeeded || this.test.isGood(goodScore);
		return new VersionComparison(all.target(), all.reference(), this.reportsOfOthers.size() + 1, score,
				onOneRoute || this.test.isWorse(score), this.test.isProbablyWorse(score) || clearlyWorse, goodScore,
				shownGood);
	}

	// A route of few requests must not decide for a service of streams, as its evidence
	// alone would never suffice.
	private boolean mostlyWithoutStreams(Map<String, RouteAnswerCounts> sums) {
		long streamed = 0;
		long others = 0;
		for (Map.Entry<String, RouteAnswerCounts> route : sums.entrySet()) {
			long answers = route.getValue().target().answers() + route.getValue().reference().answers();
			if (this.streamedRoutes.contains(route.getKey())) {
				streamed += answers;
			}
			else {
				others += answers;
			}
		}
		return others > streamed;
	}

	private Map<String, RouteAnswerCounts> totalsByRoute() {
		Map<String, RouteAnswerCounts> sums = new HashMap<>(this.ownByRoute);
		for (HostRolloutReport other : this.reportsOfOthers.values()) {
			other.countsByRoute().forEach((route, counts) -> sums.merge(route, counts, RouteAnswerCounts::plus));
		}
		return sums;
	}

	/**
	 * Good stream that waits for {@link #GOOD_STREAM_DELAY_NANOS} before it is counted.
	 * Immutable.
	 *
	 * @param route route of the request
	 * @param ofTarget whether the new version gave the answer
	 * @param atNanos monotonic time at which the stream was found good
	 */
	private record PendingGoodStream(String route, boolean ofTarget, long atNanos) {
	}

}
