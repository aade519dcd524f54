package io.sequoialink.model;

import java.util.List;
import java.util.Objects;

/**
 * An ordered set of model versions that serve some classes of requests, from the cheapest
 * tier to the dearest. Immutable and thread-safe.
 *
 * @param id the cascade's name
 * @param labels labels for selectors
 * @param classes selects, over the labels of {@link RequestClass}, what it serves
 * @param tiers selects the versions of each tier; at least one
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
