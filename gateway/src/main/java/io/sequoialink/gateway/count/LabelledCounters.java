package io.sequoialink.gateway.count;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Counters for each combination of label values. Bounded: beyond {@link #MAX_LABEL_SETS}
 * combinations, all further ones share one counter. Confined to the event loop.
 */
public final class LabelledCounters {

	/** Limit of label combinations with a counter of their own. */
	static final int MAX_LABEL_SETS = 500;

	/** Value of every label of the shared counter. */
	static final String OTHER = "other";

	private final List<String> names;

	private final Map<List<String>, Long> counts = new HashMap<>();

	/**
	 * Creates counters that are all 0.
	 * @param names names of the labels
	 */
	public LabelledCounters(String... names) {
		this.names = List.of(names);
	}

	/**
	 * Increments a counter.
	 * @param labels one value per label
	 */
	public void increment(String... labels) {
		List<String> key = List.of(labels);
		if (!this.counts.containsKey(key) && this.counts.size() >= MAX_LABEL_SETS) {
			key = Collections.nCopies(this.names.size(), OTHER);
		}
		this.counts.merge(key, 1L, Long::sum);
	}

	/**
	 * Returns the names of the labels.
	 * @return the names, in the order of the values
	 */
	public List<String> names() {
		return this.names;
	}

	/**
	 * Returns the values of all counters.
	 * @return counter values by label values, unmodifiable
	 */
	public Map<List<String>, Long> counts() {
		return Collections.unmodifiableMap(this.counts);
	}

}
