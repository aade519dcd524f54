package io.sequoialink.catalogue;

import java.util.Collections;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.ObjectKey;

/**
 * Everything that the fold of the configuration stream carries from record to record. Two
 * hosts that folded the same records hold equal states. Immutable and thread-safe.
 */
public final class FoldState {

	private static final FoldState EMPTY = new FoldState(CatalogueView.empty(), ChangeIds.empty(), new TreeMap<>(), 0);

	private final CatalogueView view;

	private final ChangeIds changeIds;

	private final SortedMap<ObjectKey, LastChange> lastChanges;

	private final long logMillis;

	FoldState(CatalogueView view, ChangeIds changeIds, SortedMap<ObjectKey, LastChange> lastChanges, long logMillis) {
		this.view = view;
		this.changeIds = changeIds;
		this.lastChanges = Collections.unmodifiableSortedMap(lastChanges);
		this.logMillis = logMillis;
	}

	/**
	 * Returns the state before the first record.
	 * @return the empty state
	 */
	public static FoldState empty() {
		return EMPTY;
	}

	/**
	 * Returns the folded configuration.
	 * @return the view
	 */
	public CatalogueView view() {
		return this.view;
	}

	/**
	 * Returns the offset of the record to fold next.
	 * @return an offset
	 */
	public long next() {
		return this.view.revision() + 1;
	}

	/**
	 * Returns the newest time that the log has stamped on a folded record.
	 * @return epoch milliseconds by the log's clock; never goes backwards
	 */
	public long logMillis() {
		return this.logMillis;
	}

	ChangeIds changeIds() {
		return this.changeIds;
	}

	SortedMap<ObjectKey, LastChange> lastChanges() {
		return this.lastChanges;
	}

	Optional<LastChange> lastChange(ObjectKey key) {
		return Optional.ofNullable(this.lastChanges.get(key));
	}

	FoldState advanced(long offset, long atMillis) {
		return new FoldState(this.view.at(offset), this.changeIds, this.lastChanges,
				Math.max(this.logMillis, atMillis));
	}

	FoldState remembering(ChangeIds.Entry entry) {
		return new FoldState(this.view, this.changeIds.with(entry), this.lastChanges, this.logMillis);
	}

	FoldState changed(CatalogueView newView, ObjectKey key, LastChange last) {
		SortedMap<ObjectKey, LastChange> changes = new TreeMap<>(this.lastChanges);
		changes.put(key, last);
		if (newView.entry(key).isEmpty()) {
			changes.remove(key);
		}
		return new FoldState(newView, this.changeIds, changes, this.logMillis);
	}

	/**
	 * Who last changed an object. Immutable and thread-safe.
	 *
	 * @param id the change id
	 * @param author the author
	 */
	record LastChange(String id, String author) {
	}

}
