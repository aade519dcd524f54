package io.sequoialink.model;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Snapshot of the configuration as of one offset of the configuration stream, the part of
 * the platform's log that holds all configuration changes. Immutable and thread-safe.
 * Each object carries the revision of its last change; a change names the revision that
 * it was based on and is rejected if the object has changed since (compare-and-set).
 */
public final class CatalogueView {

	private final long revision;

	private final SortedMap<ObjectKey, Entry> entries;

	private CatalogueView(long revision, SortedMap<ObjectKey, Entry> entries) {
		this.revision = revision;
		this.entries = Collections.unmodifiableSortedMap(entries);
	}

	/**
	 * Returns the snapshot before the first record, which has no objects.
	 * @return the empty snapshot, at revision -1
	 */
	public static CatalogueView empty() {
		return new CatalogueView(-1, new TreeMap<>());
	}

	/**
	 * Returns a snapshot with the given entries.
	 * @param revision offset of the last record applied
	 * @param entries the objects, each with the revision of its last change
	 * @return the snapshot
	 */
	public static CatalogueView of(long revision, Collection<Entry> entries) {
		SortedMap<ObjectKey, Entry> sorted = new TreeMap<>();
		entries.forEach((entry) -> sorted.put(entry.object().key(), entry));
		return new CatalogueView(revision, sorted);
	}

	/**
	 * Returns the offset of the last record applied to this snapshot.
	 * @return an offset of the configuration stream, -1 before the first record
	 */
	public long revision() {
		return this.revision;
	}

	/**
	 * Returns a snapshot with the same objects at a later offset.
	 * @param newRevision offset of the last record applied
	 * @return the snapshot
	 */
	public CatalogueView at(long newRevision) {
		return new CatalogueView(newRevision, this.entries);
	}

	/**
	 * Returns a copy with one object changed.
	 * @param key key of the object
	 * @param entry the new object with its revision, or empty to delete it
	 * @return the changed copy, at the same offset
	 */
	public CatalogueView with(ObjectKey key, Optional<Entry> entry) {
		SortedMap<ObjectKey, Entry> copy = new TreeMap<>(this.entries);
		copy.remove(key);
		entry.ifPresent((changed) -> copy.put(key, changed));
		return new CatalogueView(this.revision, copy);
	}

	/**
	 * Returns all objects in the order of their keys.
	 * @return an unmodifiable collection
	 */
	public Collection<Entry> entries() {
		return this.entries.values();
	}

	/**
	 * Returns one object.
	 * @param key kind and name
	 * @return the object with its revision, or empty if it does not exist
	 */
	public Optional<Entry> entry(ObjectKey key) {
		return Optional.ofNullable(this.entries.get(key));
	}

	/**
	 * Returns a client account.
	 * @param id the account's identifier
	 * @return the account, or empty if it does not exist
	 */
	public Optional<ClientAccount> account(AccountId id) {
		return find(ObjectKind.ACCOUNT, id.value(), ClientAccount.class);
	}

	/**
	 * Returns a model version, even if it is withdrawn.
	 * @param id the version's identifier
	 * @return the version, or empty if it does not exist
	 */
	public Optional<ModelVersion> version(VersionId id) {
		return find(ObjectKind.VERSION, id.value(), ModelVersion.class);
	}

	/**
	 * Returns a request class.
	 * @param id the class's identifier
	 * @return the class, or empty if it does not exist
	 */
	public Optional<RequestClass> requestClass(ClassId id) {
		return find(ObjectKind.CLASS, id.value(), RequestClass.class);
	}

	/**
	 * Returns a plain service.
	 * @param id the service's name
	 * @return the service, or empty if it does not exist
	 */
	public Optional<PlainService> service(String id) {
		return find(ObjectKind.SERVICE, id, PlainService.class);
	}

	/**
	 * Returns all client accounts.
	 * @return the accounts in the order of their identifiers
	 */
	public Stream<ClientAccount> accounts() {
		return all(ClientAccount.class);
	}

	/**
	 * Returns all model versions, including withdrawn ones.
	 * @return the versions in the order of their identifiers
	 */
	public Stream<ModelVersion> versions() {
		return all(ModelVersion.class);
	}

	/**
	 * Returns all roll-outs, including ended ones.
	 * @return the roll-outs in the order of their names
	 */
	public Stream<Rollout> rollouts() {
		return all(Rollout.class);
	}

	/**
	 * Returns the cascade that serves a class of requests. If the selectors of several
	 * cascades match, it is the first one by name.
	 * @param requestClass the class of a request
	 * @return the cascade, or empty if none serves the class
	 */
	public Optional<Cascade> cascadeFor(RequestClass requestClass) {
		return all(Cascade.class).filter((cascade) -> cascade.classes().matches(requestClass.labels())).findFirst();
	}

	/**
	 * Returns the model versions on which a request may run, in order of preference:
	 * versions that are offered, allowed to the client account and part of the cascade of
	 * the request class, ordered by tier and then by cost. If no cascade serves the
	 * class, all offered and allowed versions are returned, ordered by cost.
	 * @param account the client account
	 * @param requestClass the class of the request
	 * @return the versions without duplicates, possibly empty
	 */
	public List<ModelVersion> allowedVersions(ClientAccount account, RequestClass requestClass) {
		List<ModelVersion> offered = versions().filter((version) -> version.state() == VersionState.OFFERED)
			.filter((version) -> account.allowedVersions().matches(version.labels()))
			.sorted((a, b) -> Long.compare(a.cost(), b.cost()))
			.toList();
		return cascadeFor(requestClass).map((cascade) -> orderByTier(cascade, offered)).orElse(offered);
	}

	private static List<ModelVersion> orderByTier(Cascade cascade, List<ModelVersion> offered) {
		List<ModelVersion> ordered = new ArrayList<>();
		for (Selector tier : cascade.tiers()) {
			for (ModelVersion version : offered) {
				if (tier.matches(version.labels()) && !ordered.contains(version)) {
					ordered.add(version);
				}
			}
		}
		return ordered;
	}

	private <T extends ConfigObject> Optional<T> find(ObjectKind kind, String name, Class<T> type) {
		return entry(new ObjectKey(kind, name)).map((entry) -> type.cast(entry.object()));
	}

	private <T extends ConfigObject> Stream<T> all(Class<T> type) {
		return this.entries.values().stream().map(Entry::object).filter(type::isInstance).map(type::cast);
	}

	/**
	 * A configuration object with the revision of its last change. Immutable and
	 * thread-safe.
	 *
	 * @param object the object
	 * @param revision offset of the record that last changed it
	 */
	public record Entry(ConfigObject object, long revision) {
	}

}
