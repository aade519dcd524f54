package io.sequoialink.decision;

import java.util.Objects;
import java.util.Optional;

import io.sequoialink.model.AccountId;
import io.sequoialink.model.ClassId;
import io.sequoialink.model.RequestId;
import io.sequoialink.model.VersionId;

/**
 * What the policies may know of a request. Immutable and thread-safe.
 *
 * @param id the request
 * @param account its client account
 * @param requestClass its class
 * @param qualityTarget share in (0, 1] of answers of its kind that must be good enough
 * @param deadlineMillis when the whole answer is due, by the injected clock
 * @param promptTokens estimated tokens of the prompt
 * @param maxAnswerTokens the most tokens of the answer
 * @param streamed whether tokens are handed on as they arrive, so that no answer can be
 * taken back
 * @param sessionVersion the version of the request's session, if it continues one
 * @param sessionStart whether this request begins a session, which then keeps its version
 * @param prefixHash digest of the prompt's first part, equal for prompts that share it
 * @param fingerprint hexadecimal digest of account and content
 * @param priority 0 is shed last
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
