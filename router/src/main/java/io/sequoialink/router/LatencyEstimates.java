package io.sequoialink.router;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.sequoialink.decision.Candidate;
import io.sequoialink.model.ModelVersion;
import io.sequoialink.model.VersionId;

/**
 * Exponentially smoothed latencies of each version, measured by this host. Thread-safe:
 * every measurement is one atomic map update, without other locks.
 */
final class LatencyEstimates {

	private static final double INITIAL_FIRST_TOKEN_MILLIS = 150;

	private static final double INITIAL_BETWEEN_TOKENS_MILLIS = 20;

	private static final double SMOOTHING_FACTOR = 0.1;

	/** Expected length of an answer as a share of the maximum number of tokens. */
	private static final double EXPECTED_SHARE_OF_MAX_TOKENS = 0.6;

	private final Map<VersionId, Latency> latencies = new ConcurrentHashMap<>();

	/**
	 * Adds the latencies of one complete answer to the smoothed values of its version.
	 * @param version the version
	 * @param firstTokenMillis time from the dispatch to the first token
	 * @param betweenTokensMillis mean time between two tokens
	 */
	void update(VersionId version, double firstTokenMillis, double betweenTokensMillis) {
		this.latencies.merge(version, new Latency(firstTokenMillis, betweenTokensMillis),
				(old, measured) -> new Latency(smooth(old.firstTokenMillis(), measured.firstTokenMillis()),
						smooth(old.betweenTokensMillis(), measured.betweenTokensMillis())));
	}

	/**
	 * Returns a version with its expected latencies. A version without measurements gets
	 * the initial values of this class.
	 * @param version the version
	 * @param maxTokens maximum number of tokens of the answer
	 * @return the version with expected times to the first token and the complete answer
	 */
	Candidate estimate(ModelVersion version, int maxTokens) {
		Latency known = this.latencies.getOrDefault(version.id(),
				new Latency(INITIAL_FIRST_TOKEN_MILLIS, INITIAL_BETWEEN_TOKENS_MILLIS));
		double totalMillis = known.firstTokenMillis()
				+ known.betweenTokensMillis() * maxTokens * EXPECTED_SHARE_OF_MAX_TOKENS;
		return new Candidate(version, known.firstTokenMillis(), totalMillis);
	}

	private static double smooth(double old, double measured) {
		return old + SMOOTHING_FACTOR * (measured - old);
	}

	private record Latency(double firstTokenMillis, double betweenTokensMillis) {
	}

}
