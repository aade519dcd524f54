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
 * The brakes that this host knows. A brake is only ever added; a brake on a version ends
 * when the version's object was changed at a later revision. Thread-safe: one concurrent
 * map, no other lock.
 */
public final class BrakeTable {

	private final Map<Key, Brake> brakes = new ConcurrentHashMap<>();

	/**
	 * Adds a brake.
	 * @param brake the brake
	 * @return whether it was new to this host
	 */
	public boolean add(Brake brake) {
		Brake kept = this.brakes.merge(new Key(brake.scope(), brake.target()), brake,
				(old, seen) -> (seen.revision() > old.revision()) ? seen : old);
		return kept == brake;
	}

	/**
	 * Returns whether a version is stopped.
	 * @param view the configuration
	 * @param version the version
	 * @return whether a brake holds that no later change of the version has ended
	 */
	public boolean stopped(CatalogueView view, VersionId version) {
		Brake brake = this.brakes.get(new Key(Brake.Scope.VERSION, version.value()));
		if (brake == null) {
			return false;
		}
		long changed = view.entry(new ObjectKey(ObjectKind.VERSION, version.value()))
			.map(CatalogueView.Entry::revision)
			.orElse(-1L);
		return changed <= brake.revision();
	}

	/**
	 * Returns all brakes, also those that have ended.
	 * @return the brakes
	 */
	public Collection<Brake> all() {
		return this.brakes.values();
	}

	private record Key(Brake.Scope scope, String target) {
	}

}
