package io.sequoialink.catalogue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.ObjectKey;

/**
 * Everything that the fold of the configuration stream carries from record to record. Two
 * hosts that folded the same records hold equal states. Immutable and thread-safe.
 */
public final class FoldState {

	private static final FoldState EMPTY = new FoldState(CatalogueView.empty(), ChangeIds.empty(), Map.of(), 0);

	private final CatalogueView view;

	private final ChangeIds changeIds;

	private final Map<ObjectKey, LastChange> lastChanges;

	private final long logMillis;

	FoldState(CatalogueView view, ChangeIds changeIds, Map<ObjectKey, LastChange> lastChanges, long logMillis) {
		this.view = view;
		this.changeIds = changeIds;
		this.lastChanges = lastChanges;
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

	Map<ObjectKey, LastChange> lastChanges() {
		return this.lastChanges;
	}

	Optional<LastChange> lastChange(ObjectKey key) {
		return Optional.ofNullable(this.lastChanges.get(key));
	}

	FoldState advanced(long offset, long atMillis) {
		return new FoldState(CatalogueView.of(offset, this.view.entries()), this.changeIds, this.lastChanges,
				Math.max(this.logMillis, atMillis));
	}

	FoldState remembering(ChangeIds.Entry entry) {
		return new FoldState(this.view, this.changeIds.with(entry), this.lastChanges, this.logMillis);
	}

	FoldState changed(List<CatalogueView.Entry> entries, ObjectKey key, LastChange last) {
		Map<ObjectKey, LastChange> changes = new TreeMap<>(this.lastChanges);
		changes.put(key, last);
		changes.keySet().retainAll(entries.stream().map((entry) -> entry.object().key()).toList());
		return new FoldState(CatalogueView.of(this.view.revision(), entries), this.changeIds, Map.copyOf(changes),
				this.logMillis);
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
