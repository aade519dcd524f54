package io.sequoialink.decision;

import java.util.Objects;
import java.util.Optional;

import io.sequoialink.model.AccountId;
import io.sequoialink.model.ClassId;
import io.sequoialink.model.RequestId;
import io.sequoialink.model.VersionId;

/**
 * The properties of a request that the policies base their decisions on. Immutable and
 * thread-safe.
 *
 * @param id identifier of the request
 * @param account client account that sent the request
 * @param requestClass request class, which selects the quality target and the statistics
 * @param qualityTarget share in (0, 1] of the answers of the request class that must be
 * good enough
 * @param deadlineMillis time by which the complete answer is due, in milliseconds of the
 * injected clock
 * @param promptTokens estimated number of tokens of the prompt
 * @param maxAnswerTokens maximum number of tokens of the answer
 * @param streamed whether tokens are forwarded to the client as they arrive, so that the
 * answer cannot be replaced by that of another version
 * @param sessionVersion the version of the session, if the request continues one
 * @param sessionStart whether this request starts a session, which then keeps its version
 * @param prefixHash hash of the start of the prompt, equal for prompts that share it; 0
 * if there is none
 * @param fingerprint request fingerprint: hexadecimal digest of the client account and
 * the request content
 * @param priority priority of the request; requests with priority 0 are shed last
 */
public record RequestFacts(RequestId id, AccountId account, ClassId requestClass, double qualityTarget,
		long deadlineMillis, int promptTokens, int maxAnswerTokens, boolean streamed,
		Optional<VersionId> sessionVersion, boolean sessionStart, long prefixHash, String fingerprint, int priority) {

	public RequestFacts {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(account, "account");
		Objects.requireNonNull(requestClass, "requestClass");
		Objects.requireNonNull(sessionVersion, "sessionVersion");
		Objects.requireNonNull(fingerprint, "fingerprint");
	}

}
