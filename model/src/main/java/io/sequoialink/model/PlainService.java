package io.sequoialink.model;

import java.util.Objects;

/**
 * A plain service: a backend service that involves no model, which the hosts route by
 * name. Immutable and thread-safe.
 *
 * @param id name of the service, which clients use in the request path
 * @param labels labels of the service, matched by selectors
 * @param accounts selects, by account labels, the client accounts that may call it
 * @param idempotent whether calls may be retried; if not, each call needs an idempotency
 * key and is executed at most once
 */
public record PlainService(String id, Labels labels, Selector accounts, boolean idempotent) implements ConfigObject {

	public PlainService {
		Identifiers.check("service", id);
		labels = Objects.requireNonNullElse(labels, Labels.none());
		accounts = Objects.requireNonNullElse(accounts, Selector.everything());
	}

	@Override
	public ObjectKey key() {
		return new ObjectKey(ObjectKind.SERVICE, this.id);
	}

}
