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
 * The stop orders that this host has issued or received: orders to all hosts to stop a
 * version, a request fingerprint or a server. Orders are never removed; an order against
 * a version loses its effect when the version's configuration object changes at a later
 * revision. Thread-safe: one concurrent map and no other lock.
 */
public final class BrakeTable {

	private final Map<Key, Brake> brakes = new ConcurrentHashMap<>();

	/**
	 * Stores a stop order. It replaces a stored order against the same target only if its
	 * configuration revision is higher; otherwise it is ignored.
	 * @param brake the stop order
	 * @return whether the order was stored
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
	 * @return {@code true} if an order exists and the configuration object of the version
	 * has not changed since the revision of the order
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
	 * @return a live view that also shows orders stored later
	 */
	public Collection<Brake> all() {
		return this.brakes.values();
	}

	private record Key(Brake.Scope scope, String target) {
	}

}
