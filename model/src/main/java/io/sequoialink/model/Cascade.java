package io.sequoialink.model;

import java.util.List;
import java.util.Objects;

/**
 * A cascade: model versions grouped into tiers, from the cheapest to the most expensive,
 * that serve some classes of requests. A request may be escalated to a later tier if the
 * answer of an earlier one is not good enough. Immutable and thread-safe.
 *
 * @param id name of the cascade
 * @param labels labels of the cascade, matched by selectors
 * @param classes selects, by their labels, the request classes that it serves
 * @param tiers one selector of model versions for each tier, cheapest tier first; at
 * least one
 */
public record Cascade(String id, Labels labels, Selector classes, List<Selector> tiers) implements ConfigObject {

	public Cascade {
		Identifiers.check("cascade", id);
		labels = Objects.requireNonNullElse(labels, Labels.none());
		classes = Objects.requireNonNullElse(classes, Selector.everything());
		tiers = List.copyOf(tiers);
		if (tiers.isEmpty()) {
			throw new IllegalArgumentException("cascade " + id + " has no tier");
		}
	}

	@Override
	public ObjectKey key() {
		return new ObjectKey(ObjectKind.CASCADE, this.id);
	}

}
