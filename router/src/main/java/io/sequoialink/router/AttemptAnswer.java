package io.sequoialink.router;

import io.sequoialink.decision.Attempt;
import io.sequoialink.model.ModelVersion;
import io.sequoialink.remote.EngineClient;

/**
 * The complete answer that one attempt produced. Immutable and thread-safe.
 *
 * @param index the position of the attempt in the explanation, from 0
 * @param attempt the attempt, not yet rated
 * @param version the model version that generated the answer
 * @param text the text of the complete answer
 * @param result token counts and finish reason from the engine
 * @param firstTokenMillis time from the dispatch to the first token
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
