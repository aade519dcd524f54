package io.sequoialink.router;

import io.sequoialink.decision.Attempt;
import io.sequoialink.model.ModelVersion;
import io.sequoialink.remote.EngineClient;

/**
 * A whole answer of one attempt. Immutable and thread-safe.
 *
 * @param index the attempt's index in the explanation
 * @param attempt the attempt, without a rating
 * @param version the version
 * @param text the whole text
 * @param result the engine's counts
 * @param firstTokenMillis time from dispatch to the first token
 */
record AttemptAnswer(int index, Attempt attempt, ModelVersion version, String text, EngineClient.EngineResult result,
		double firstTokenMillis) {

	long tokens() {
		return (long) this.result.promptTokens() + this.result.answerTokens();
	}

	long cost() {
		return this.version.costOf(tokens());
	}

}
