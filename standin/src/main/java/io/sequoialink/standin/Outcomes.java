package io.sequoialink.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Draws each answer's hidden quality. Thread-safe. The draw depends on the seed, the
 * request and the version alone, so that it can be known beforehand; only
 * {@link #degrade} changes it.
 */
public final class Outcomes {

	private static final Pattern MARK = Pattern.compile("~([0-9a-f]{8})");

	private final OutcomeTable table;

	private final long seed;

	private final Map<String, Double> factors = new ConcurrentHashMap<>();

	/**
	 * Creates the draws of one run.
	 * @param table the chances
	 * @param seed the seed
	 */
	public Outcomes(OutcomeTable table, long seed) {
		this.table = table;
		this.seed = seed;
	}

	/**
	 * Returns the table that is drawn from.
	 * @return the table
	 */
	public OutcomeTable table() {
		return this.table;
	}

	/**
	 * Makes a version worse, or well again, from now on.
	 * @param version the version
	 * @param factor factor on its chances, 1 for as good as the table says
	 */
	public void degrade(String version, double factor) {
		this.factors.put(version, factor);
	}

	/**
	 * Returns whether a version's answer to a request is good enough.
	 * @param request the request
	 * @param requestClass its class
	 * @param version the version
	 * @return the drawn outcome
	 */
	public boolean meetsTarget(String request, String requestClass, String version) {
		double chance = difficulty(request, requestClass).chance().getOrDefault(version, 0.0);
		return Draws.unit(this.seed, "outcome", request, version) < chance * this.factors.getOrDefault(version, 1.0);
	}

	/**
	 * Returns the length of the answer to a request, whichever version gives it.
	 * @param request the request
	 * @param requestClass its class
	 * @return a number of tokens
	 */
	public int answerTokens(String request, String requestClass) {
		return this.table.requestClass(requestClass).answerTokens().at(Draws.unit(this.seed, "tokens", request));
	}

	/**
	 * Returns the text that tells the rating service, and nobody else, how good an answer
	 * is.
	 * @param request the request
	 * @param requestClass its class
	 * @param version the version
	 * @return a mark to be put into the answer
	 */
	public String mark(String request, String requestClass, String version) {
		int quality = meetsTarget(request, requestClass, version) ? 1 : 0;
		int bits = (int) Draws.bits(this.seed, "mark", request, version) & ~1;
		return String.format("~%08x", bits | (quality ^ secret(request)));
	}

	/**
	 * Reads the mark of an answer.
	 * @param request the request
	 * @param answer the answer's text
	 * @return 1 for a good answer, 0 for another, -1 without a mark
	 */
	public int quality(String request, String answer) {
		Matcher matcher = MARK.matcher(answer);
		return matcher.find() ? ((Integer.parseUnsignedInt(matcher.group(1), 16) & 1) ^ secret(request)) : -1;
	}

	private int secret(String request) {
		return (int) Draws.bits(this.seed, "secret", request) & 1;
	}

	private OutcomeTable.Difficulty difficulty(String request, String requestClass) {
		OutcomeTable.RequestClass type = this.table.requestClass(requestClass);
		double place = Draws.unit(this.seed, "difficulty", request);
		for (OutcomeTable.Difficulty difficulty : type.difficulties()) {
			place -= difficulty.share();
			if (place < 0) {
				return difficulty;
			}
		}
		return type.difficulties().get(type.difficulties().size() - 1);
	}

}
