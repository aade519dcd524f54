package io.sequoialink.gateway.place;

import java.util.HashMap;
import java.util.Map;

/**
 * How long engines take to read prompts, learnt by model from answers of engines that had
 * nothing else to read. Confined to the event loop.
 */
public final class ReadingSpeed {

	/** Before anything is known, in milliseconds a token. */
	private static final double INITIAL_MILLIS = 0.03;

	private static final double WEIGHT = 0.05;

	/** Prompts below this say little, since other delays weigh more. */
	private static final int MIN_TOKENS = 400;

	private final Map<String, Double> millisByModel = new HashMap<>();

	/**
	 * Returns the time to read tokens.
	 * @param model name of the model
	 * @param tokens tokens that are not in memory yet
	 * @return estimate in milliseconds
	 */
	public double millis(String model, double tokens) {
		return this.millisByModel.getOrDefault(model, INITIAL_MILLIS) * tokens;
	}

	/**
	 * Learns from an answer of an engine that had nothing else to read.
	 * @param model name of the model
	 * @param tokens tokens that were read
	 * @param millis time until the answer began
	 */
	public void observe(String model, double tokens, double millis) {
		if (tokens < MIN_TOKENS) {
			return;
		}
		double rate = millis / tokens;
		Double known = this.millisByModel.get(model);
		this.millisByModel.put(model, (known != null) ? known + WEIGHT * (rate - known) : rate);
	}

}
