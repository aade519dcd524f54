package io.sequoialink.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Decides at random whether a simulated answer meets the quality target, and how long it
 * is. Results depend only on the seed, the request and the version, so tests can compute
 * them in advance; only {@link #scaleSuccessProbability} changes them. Thread-safe.
 */
public final class SimulatedOutcomes {

	private static final Pattern QUALITY_MARKER = Pattern.compile("~([0-9a-f]{8})");

	private final OutcomeTable table;

	private final long seed;

	private final Map<String, Double> probabilityFactors = new ConcurrentHashMap<>();

	/**
	 * Creates the outcomes of one simulation.
	 * @param table the success probabilities and answer lengths
	 * @param seed the seed of all random numbers
	 */
	public SimulatedOutcomes(OutcomeTable table, long seed) {
		this.table = table;
		this.seed = seed;
	}

	/**
	 * Returns the table with the success probabilities and answer lengths.
	 * @return the outcome table
	 */
	public OutcomeTable table() {
		return this.table;
	}

	/**
	 * Scales the success probabilities of a version for all later answers, to simulate a
	 * loss of quality or its end.
	 * @param version the identifier of the version
	 * @param factor factor applied to the probabilities of the table; 1 restores them
	 */
	public void scaleSuccessProbability(String version, double factor) {
		this.probabilityFactors.put(version, factor);
	}

	/**
	 * Returns whether a version's answer to a request meets the quality target.
	 * @param request the identifier of the request
	 * @param requestClass the class of the request
	 * @param version the identifier of the version
	 * @return {@code true} if it meets the target; the same for every attempt unless the
	 * version was scaled in between
	 */
	public boolean meetsTarget(String request, String requestClass, String version) {
		double successProbability = difficulty(request, requestClass).chance().getOrDefault(version, 0.0);
		return SeededRandom.uniform(this.seed, "outcome", request, version) < successProbability
				* this.probabilityFactors.getOrDefault(version, 1.0);
	}

	/**
	 * Returns the length of the answer to a request, which is the same for all versions.
	 * @param request the identifier of the request
	 * @param requestClass the class of the request
	 * @return the number of tokens
	 */
	public int answerTokens(String request, String requestClass) {
		return this.table.requestClass(requestClass)
			.answerTokens()
			.quantile(SeededRandom.uniform(this.seed, "tokens", request));
	}

	/**
	 * Returns the first token of an answer, which encodes whether the answer meets the
	 * quality target. The bit is masked by a value of the request, so only
	 * {@link #decodeQuality} and not the code under test can read it.
	 * @param request the identifier of the request
	 * @param requestClass the class of the request
	 * @param version the identifier of the version
	 * @return the marker, a tilde and 8 hexadecimal digits
	 */
	public String qualityMarker(String request, String requestClass, String version) {
		int quality = meetsTarget(request, requestClass, version) ? 1 : 0;
		int randomBits = (int) SeededRandom.bits(this.seed, "mark", request, version) & ~1;
		return String.format("~%08x", randomBits | (quality ^ maskBit(request)));
	}

	/**
	 * Decodes the quality marker in the text of an answer.
	 * @param request the identifier of the request
	 * @param answer the text of the answer
	 * @return 1 if the answer meets the target, 0 if not, -1 if the text has no marker
	 */
	public int decodeQuality(String request, String answer) {
		Matcher matcher = QUALITY_MARKER.matcher(answer);
		return matcher.find() ? ((Integer.parseUnsignedInt(matcher.group(1), 16) & 1) ^ maskBit(request)) : -1;
	}

	private int maskBit(String request) {
		return (int) SeededRandom.bits(this.seed, "secret", request) & 1;
	}

	private OutcomeTable.Difficulty difficulty(String request, String requestClass) {
		OutcomeTable.RequestClass type = this.table.requestClass(requestClass);
		double remainingShare = SeededRandom.uniform(this.seed, "difficulty", request);
		for (OutcomeTable.Difficulty difficulty : type.difficulties()) {
			remainingShare -= difficulty.share();
			if (remainingShare < 0) {
				return difficulty;
			}
		}
		return type.difficulties().get(type.difficulties().size() - 1);
	}

}
