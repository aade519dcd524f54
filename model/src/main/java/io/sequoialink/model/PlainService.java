package io.sequoialink.model;

import java.util.Objects;

/**
 * A plain service that stands beside the model engines. Immutable and thread-safe.
 *
 * @param id the service's name in the path of its callers
 * @param labels labels for selectors
 * @param accounts selects, over account labels, who may call it
 * @param idempotent whether its calls may be repeated; if not, each call needs an
 * idempotency key and is executed at most once
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
