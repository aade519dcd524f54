package io.sequoialink.gateway.feed;

import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Stretches of a topic that arrived before those which they follow. Confined to the event
 * loop.
 */
final class EarlyReads {

	/** Stretches that are held at most. */
	private static final int MAX_HELD = 64;

	private final NavigableMap<Long, SharedRead> held = new TreeMap<>();

	/**
	 * Holds a stretch.
	 * @param read the stretch
	 * @return whether there was room
	 */
	boolean hold(SharedRead read) {
		this.held.put(read.from(), read);
		return this.held.size() <= MAX_HELD;
	}

	/**
	 * Takes out the first stretch that goes on from an offset, and drops older ones.
	 * @param next offset up to which the topic is known
	 * @return the stretch, if there is one
	 */
	Optional<SharedRead> following(long next) {
		while (!this.held.isEmpty() && this.held.firstKey() <= next) {
			SharedRead first = this.held.pollFirstEntry().getValue();
			if (first.next() > next) {
				return Optional.of(first);
			}
		}
		return Optional.empty();
	}

	boolean isEmpty() {
		return this.held.isEmpty();
	}

	void clear() {
		this.held.clear();
	}

}
