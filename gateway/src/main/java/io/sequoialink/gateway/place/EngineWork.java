package io.sequoialink.gateway.place;

/**
 * What a request asks of an engine. Immutable.
 *
 * @param model name of the model, empty for plain services
 * @param sharedPart hash of the last part of the prompt that requests share, and of the
 * model; 0 if there is none
 * @param sharedTokens tokens up to the end of that part
 * @param ownTokens tokens of the prompt after that part
 */
public record EngineWork(String model, long sharedPart, int sharedTokens, int ownTokens) {

	/** Work of a plain service. */
	public static final EngineWork PLAIN = new EngineWork("", 0, 0, 0);

	/**
	 * Returns whether the work is an engine's.
	 * @return whether a model is named
	 */
	public boolean engine() {
		return !this.model.isEmpty();
	}

}
