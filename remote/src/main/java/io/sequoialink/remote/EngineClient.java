package io.sequoialink.remote;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.sequoialink.model.AccountId;
import io.sequoialink.model.BackendServer;
import io.sequoialink.model.ClassId;
import io.sequoialink.model.LoadReport;
import io.sequoialink.model.RequestId;
import io.sequoialink.model.VersionId;

/**
 * Calls to model engines. Implementations are thread-safe; every method blocks.
 */
public interface EngineClient {

	/**
	 * Runs one request on an engine and hands its tokens on as they arrive. The sink is
	 * called on the calling thread, in order, each token once; a token of another request
	 * or attempt is dropped and counted.
	 * @param server the engine
	 * @param request what to run
	 * @param sink takes each token's text with its number, from 0
	 * @return the end of the run
	 * @throws BackendException if the answer is not whole; it says what was done
	 */
	EngineResult generate(BackendServer server, EngineRequest request, TokenSink sink) throws BackendException;

	/**
	 * Cancels a run; without effect when it has ended.
	 * @param server the engine
	 * @param request the request
	 * @param attempt the attempt, from 0
	 * @throws BackendException if the engine can't be reached
	 */
	void cancel(BackendServer server, RequestId request, int attempt) throws BackendException;

	/**
	 * Returns the last load report of a server.
	 * @param server the engine
	 * @return the report, lagged by the server's reporting interval
	 * @throws BackendException if the engine can't be reached
	 */
	LoadReport load(BackendServer server) throws BackendException;

	/**
	 * A request to an engine. Immutable and thread-safe.
	 *
	 * @param request the caller's request
	 * @param attempt the attempt, from 0
	 * @param version the version to run
	 * @param messages the conversation
	 * @param maxTokens the most tokens to generate
	 * @param priority 0 is the highest
	 * @param timeout time left until the deadline
	 * @param resumeAt number of the first token wanted, 0 for a new run
	 * @param requestClass the class of the request, for the engine's own accounts
	 * @param account the client account, for the engine's own accounts
	 */
	record EngineRequest(RequestId request, int attempt, VersionId version, List<Message> messages, int maxTokens,
			int priority, Duration timeout, int resumeAt, ClassId requestClass, AccountId account) {

		public EngineRequest {
			messages = List.copyOf(messages);
		}

	}

	/**
	 * One message of a conversation. Immutable and thread-safe.
	 *
	 * @param role system, user or assistant
	 * @param content the text
	 */
	record Message(String role, String content) {
	}

	/**
	 * The end of a whole answer. Immutable and thread-safe.
	 *
	 * @param promptTokens tokens of the prompt
	 * @param cachedTokens prompt tokens that the prefix cache held
	 * @param answerTokens tokens of the answer
	 * @param finishReason why the engine stopped, {@code stop} or {@code length}
	 */
	record EngineResult(int promptTokens, int cachedTokens, int answerTokens, Optional<String> finishReason) {
	}

	/**
	 * Takes tokens.
	 */
	@FunctionalInterface
	interface TokenSink {

		/**
		 * Takes one token.
		 * @param number its number in the answer, from 0
		 * @param text its text
		 * @throws CallerGoneException if nobody waits for the answer any more
		 */
		void token(int number, String text) throws CallerGoneException;

	}

}
