package io.sequoialink.router;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.sequoialink.decision.Candidate;
import io.sequoialink.model.ModelVersion;
import io.sequoialink.model.VersionId;

/**
 * Smoothed times of each version as this host saw them. Thread-safe: one atomic map
 * update for each observation, no other lock.
 */
final class LatencyTable {

	private static final double PRIOR_FIRST_TOKEN_MILLIS = 150;

	private static final double PRIOR_BETWEEN_TOKENS_MILLIS = 20;

	private static final double SMOOTHING = 0.1;

	/** The share of the most tokens that an answer is expected to use. */
	private static final double EXPECTED_SHARE_OF_MAX_TOKENS = 0.6;

	private final Map<VersionId, Times> times = new ConcurrentHashMap<>();

	void observe(VersionId version, double firstTokenMillis, double betweenTokensMillis) {
		this.times.merge(version, new Times(firstTokenMillis, betweenTokensMillis),
				(old, seen) -> new Times(smooth(old.first(), seen.first()), smooth(old.between(), seen.between())));
	}

	Candidate candidate(ModelVersion version, int maxTokens) {
		Times known = this.times.getOrDefault(version.id(),
				new Times(PRIOR_FIRST_TOKEN_MILLIS, PRIOR_BETWEEN_TOKENS_MILLIS));
		double whole = known.first() + known.between() * maxTokens * EXPECTED_SHARE_OF_MAX_TOKENS;
		return new Candidate(version, known.first(), whole);
	}

	private static double smooth(double old, double seen) {
		return old + SMOOTHING * (seen - old);
	}

	private record Times(double first, double between) {
	}

}
