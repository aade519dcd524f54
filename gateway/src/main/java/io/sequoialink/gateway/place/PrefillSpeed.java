package io.sequoialink.gateway.place;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates the prefill time of prompts by model (the time that an engine needs to
 * process a prompt before the first token), learnt from responses of engines that had no
 * other prompt to process. Confined to the event loop.
 */
public final class PrefillSpeed {

	/** Milliseconds per token for a model without a measured prefill time. */
	private static final double DEFAULT_MILLIS_PER_TOKEN = 0.03;

	private static final double SMOOTHING = 0.05;

	/**
	 * Number of processed tokens below which a measured time is ignored, since other
	 * delays make up most of it.
	 */
	private static final int MIN_TOKENS = 400;

	/** Number of models for which a fit is kept; clients may name any. */
	private static final int MAX_MODELS = 256;

	private final Map<String, Double> millisPerToken = new HashMap<>();

	private final Map<String, PrefillFit> fits = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, PrefillFit> eldest) {
			return size() > MAX_MODELS;
		}
	};

	/**
	 * Returns the estimated prefill time.
	 * @param model name of the model
	 * @param tokens tokens that are not in the engine's cache
	 * @return estimate in milliseconds
	 */
	public double estimateMillis(String model, double tokens) {
		return this.millisPerToken.getOrDefault(model, DEFAULT_MILLIS_PER_TOKEN) * tokens;
	}

	/**
	 * Returns the estimated time until the first token, of which a part does not depend
	 * on the length of the prompt.
	 * @param model name of the model
	 * @param tokens tokens that are not in the engine's cache
	 * @return estimate in milliseconds
	 */
	public double firstTokenMillis(String model, double tokens) {
		return fit(model).estimateMillis(tokens);
	}

	private PrefillFit fit(String model) {
		return this.fits.computeIfAbsent(model, (name) -> new PrefillFit());
	}

	/**
	 * Updates a model's estimate with the measured time of one prompt, whose engine had
	 * no other prompt to process.
	 * @param model name of the model
	 * @param tokens tokens that the engine processed
	 * @param millis time until the response began, in milliseconds
	 */
	public void observe(String model, double tokens, double millis) {
		fit(model).observe(tokens, millis);
		if (tokens < MIN_TOKENS) {
			return;
		}
		double rate = millis / tokens;
		Double known = this.millisPerToken.get(model);
		this.millisPerToken.put(model, (known != null) ? known + SMOOTHING * (rate - known) : rate);
	}

}
