package io.sequoialink.gateway.place;

/**
 * Size of a request's prompt, as far as it matters for the choice of an inference engine.
 * Immutable.
 *
 * @param model name of the model; empty for services without inference engines
 * @param prefixHash hash of the model and of the prompt prefix that other requests have
 * in common with this one; 0 if there is no such prefix
 * @param prefixTokens number of tokens in that prefix
 * @param remainingTokens number of tokens after that prefix
 */
public record PromptSize(String model, long prefixHash, int prefixTokens, int remainingTokens) {

	/** Value for services without inference engines: no model and no tokens. */
	public static final PromptSize NONE = new PromptSize("", 0, 0, 0);

	/**
	 * Returns whether the request is for an inference engine.
	 * @return whether a model is named
	 */
	public boolean inference() {
		return !this.model.isEmpty();
	}

}
