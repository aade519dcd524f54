package io.sequoialink.ledger;

import java.util.Objects;

import io.sequoialink.model.AccountId;
import io.sequoialink.model.Identifiers;

/**
 * Names one non-idempotent piece of work. Immutable and thread-safe.
 *
 * @param account the client account
 * @param service the plain service
 * @param idempotencyKey the caller's key
 */
public record ClaimKey(AccountId account, String service, String idempotencyKey) {

	public ClaimKey {
		Objects.requireNonNull(account, "account");
		Identifiers.check("service", service);
		Identifiers.check("idempotency key", idempotencyKey);
	}

}
