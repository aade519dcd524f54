package io.sequoialink.gateway.crash;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Texts that name traits of requests in log lines. Confined to the event loop. A limited
 * number is kept; other traits are named by their hash.
 */
final class TraitLabels {

	private static final int MAX_LABELS = 4096;

	/** Number of traits that a log line names. */
	private static final int MAX_NAMED = 12;

	private final Map<Long, String> labels = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, String> eldest) {
			return size() > MAX_LABELS;
		}
	};

	void put(long trait, String label) {
		this.labels.put(trait, label);
	}

	void putIfAbsent(long trait, String label) {
		this.labels.putIfAbsent(trait, label);
	}

	String find(long trait) {
		return this.labels.getOrDefault(trait, "trait " + Long.toHexString(trait));
	}

	String describe(Collection<Long> traits) {
		String named = traits.stream()
			.limit(MAX_NAMED)
			.map(this::find)
			.distinct()
			.sorted()
			.collect(Collectors.joining(" with "));
		return (traits.size() > MAX_NAMED) ? named + " and " + (traits.size() - MAX_NAMED) + " more" : named;
	}

}
