package io.sequoialink.router;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.sequoialink.model.Brake;
import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.ObjectKey;
import io.sequoialink.model.ObjectKind;
import io.sequoialink.model.VersionId;

/**
 * The stop orders that are known to this host. Orders are never removed; an order against
 * a version loses its effect when the version's configuration object changes at a later
 * revision. Thread-safe: one concurrent map and no other lock.
 */
public final class BrakeTable {

	private final Map<Key, Brake> brakes = new ConcurrentHashMap<>();

	/**
	 * Adds a stop order, unless an order with the same target and the same or a higher
	 * revision is known.
	 * @param brake the stop order
	 * @return whether the order was added
	 */
	public boolean add(Brake brake) {
		Brake kept = this.brakes.merge(new Key(brake.scope(), brake.target()), brake,
				(known, added) -> (added.revision() > known.revision()) ? added : known);
		return kept == brake;
	}

	/**
	 * Returns whether a stop order against a version is in force.
	 * @param view the current configuration
	 * @param version the version
	 * @return whether an order exists and the version has not been changed after it
	 */
	public boolean isStopped(CatalogueView view, VersionId version) {
		Brake brake = this.brakes.get(new Key(Brake.Scope.VERSION, version.value()));
		if (brake == null) {
			return false;
		}
		long changedAt = view.entry(new ObjectKey(ObjectKind.VERSION, version.value()))
			.map(CatalogueView.Entry::revision)
			.orElse(-1L);
		return changedAt <= brake.revision();
	}

	/**
	 * Returns all stop orders, including those that are no longer in force.
	 * @return a live view of the orders
	 */
	public Collection<Brake> all() {
		return this.brakes.values();
	}

	private record Key(Brake.Scope scope, String target) {
	}

}
