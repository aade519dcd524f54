package io.sequoialink.catalogue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * The change ids that the fold remembers, as a persistent hash table. A change id is
 * remembered for {@link #WINDOW_MILLIS} of the log's own time, and at most
 * {@link #MAX_IDS} are kept; both depend on the folded records alone, so that every host
 * remembers the same ids. Immutable and thread-safe.
 */
final class ChangeIds {

	/** How long an id is remembered, by the log's clock: 14 days. */
	static final long WINDOW_MILLIS = 14L * 24 * 60 * 60 * 1000;

	/** The most ids that are kept; twice the expected 14 days of 1,100 changes. */
	static final int MAX_IDS = 32 * 1024;

	private static final int BUCKETS = 512;

	private static final int BUCKET_SIZE = MAX_IDS / BUCKETS;

	private static final ChangeIds EMPTY = new ChangeIds(new Entry[BUCKETS][0]);

	private final Entry[][] buckets;

	private ChangeIds(Entry[][] buckets) {
		this.buckets = buckets;
	}

	static ChangeIds empty() {
		return EMPTY;
	}

	static ChangeIds of(List<Entry> entries) {
		List<List<Entry>> lists = new ArrayList<>();
		for (int i = 0; i < BUCKETS; i++) {
			lists.add(new ArrayList<>());
		}
		entries.forEach((entry) -> lists.get(bucketOf(entry.id())).add(entry));
		return new ChangeIds(lists.stream().map((list) -> list.toArray(new Entry[0])).toArray(Entry[][]::new));
	}

	/**
	 * Returns the first verdict on an id.
	 * @param id the change id
	 * @param nowMillis the log's time
	 * @return the entry, or empty if the id is new or was forgotten
	 */
	Optional<Entry> find(String id, long nowMillis) {
		for (Entry entry : this.buckets[bucketOf(id)]) {
			if (entry.id().equals(id) && entry.atMillis() >= nowMillis - WINDOW_MILLIS) {
				return Optional.of(entry);
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns a copy that remembers one more id and forgets those of its bucket that are
	 * outside the window.
	 * @param added the new entry; its time is the log's time
	 * @return the copy
	 */
	ChangeIds with(Entry added) {
		int bucket = bucketOf(added.id());
		List<Entry> kept = new ArrayList<>();
		for (Entry entry : this.buckets[bucket]) {
			if (entry.atMillis() >= added.atMillis() - WINDOW_MILLIS) {
				kept.add(entry);
			}
		}
		kept.add(added);
		List<Entry> newest = kept.subList(Math.max(0, kept.size() - BUCKET_SIZE), kept.size());
		Entry[][] copy = this.buckets.clone();
		copy[bucket] = newest.toArray(new Entry[0]);
		return new ChangeIds(copy);
	}

	/**
	 * Returns every kept id in the order of its offset.
	 * @return the entries
	 */
	List<Entry> entries() {
		List<Entry> all = new ArrayList<>();
		for (Entry[] bucket : this.buckets) {
			all.addAll(List.of(bucket));
		}
		all.sort(Comparator.comparingLong(Entry::offset));
		return all;
	}

	private static int bucketOf(String id) {
		int hash = id.hashCode();
		return (hash ^ (hash >>> 16)) & (BUCKETS - 1);
	}

	/**
	 * A folded change id. Immutable and thread-safe.
	 *
	 * @param id the change id
	 * @param offset where it was first folded
	 * @param atMillis when the log took it
	 * @param kind the verdict
	 * @param digest start of the SHA-256 of the change, to tell a repetition from another
	 * change with the same id
	 */
	record Entry(String id, long offset, long atMillis, Verdict.Kind kind, long digest) {
	}

}
