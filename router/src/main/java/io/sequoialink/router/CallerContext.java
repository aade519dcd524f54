package io.sequoialink.router;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;

import io.sequoialink.model.ClassId;
import io.sequoialink.model.RequestId;

/**
 * What every caller states beside the body. Immutable and thread-safe.
 *
 * @param id the request, minted by this host
 * @param accountKey the secret key of the client account
 * @param requestClass the class, if stated
 * @param qualityTarget the quality target, if it differs from the class
 * @param deadline time from arrival to the whole answer, if stated
 * @param session the sealed session token, if the request continues a session
 * @param beginSession whether the request begins a session
 * @param idempotencyKey the caller's idempotency key, if stated
 */
public record CallerContext(RequestId id, String accountKey, Optional<ClassId> requestClass,
		OptionalDouble qualityTarget, Optional<Duration> deadline, Optional<String> session, boolean beginSession,
		Optional<String> idempotencyKey) {

	public CallerContext {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(accountKey, "accountKey");
		Objects.requireNonNull(requestClass, "requestClass");
		Objects.requireNonNull(qualityTarget, "qualityTarget");
		Objects.requireNonNull(deadline, "deadline");
		Objects.requireNonNull(session, "session");
		Objects.requireNonNull(idempotencyKey, "idempotencyKey");
	}

	/**
	 * Returns a context that states only its account.
	 * @param id the request
	 * @param accountKey the key
	 * @return the context
	 */
	public static CallerContext of(RequestId id, String accountKey) {
		return new CallerContext(id, accountKey, Optional.empty(), OptionalDouble.empty(), Optional.empty(),
				Optional.empty(), false, Optional.empty());
	}

}
