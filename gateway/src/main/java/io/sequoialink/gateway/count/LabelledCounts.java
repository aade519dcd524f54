package io.sequoialink.gateway.count;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts by a set of labels. Bounded: beyond {@link #MAX_SETS} sets, all further ones
 * count together. Confined to the event loop.
 */
public final class LabelledCounts {

	/** Sets of labels that are kept apart. */
	static final int MAX_SETS = 500;

	/** Label of what is not kept apart. */
	static final String OTHER = "other";

	private final List<String> names;

	private final Map<List<String>, Long> counts = new HashMap<>();

	/**
	 * Creates counts that are all 0.
	 * @param names names of the labels
	 */
	public LabelledCounts(String... names) {
		this.names = List.of(names);
	}

	/**
	 * Adds one.
	 * @param labels a value for each label
	 */
	public void add(String... labels) {
		List<String> key = List.of(labels);
		if (!this.counts.containsKey(key) && this.counts.size() >= MAX_SETS) {
			key = Collections.nCopies(this.names.size(), OTHER);
		}
		this.counts.merge(key, 1L, Long::sum);
	}

	/**
	 * Returns the names of the labels.
	 * @return the names
	 */
	public List<String> names() {
		return this.names;
	}

	/**
	 * Returns all counts.
	 * @return counts by the values of the labels
	 */
	public Map<List<String>, Long> counts() {
		return Collections.unmodifiableMap(this.counts);
	}

}
