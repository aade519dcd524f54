package io.sequoialink.gateway.fleet;

import java.util.Comparator;

/**
 * Position of a record in a topic of the platform's store. The store may return from an
 * older copy; then it gives offsets out again, so an offset says nothing without the era
 * in which it was given. Positions of a later era come after all those of an earlier one.
 * Immutable.
 *
 * @param era era of the store, {@link #NO_ERA} if the store has named none
 * @param offset offset of the record in its topic
 */
public record StorePosition(long era, long offset) implements Comparable<StorePosition> {

	/** Era of a store that names none; before all others. */
	public static final long NO_ERA = -1;

	private static final Comparator<StorePosition> ORDER = Comparator.comparingLong(StorePosition::era)
		.thenComparingLong(StorePosition::offset);

	@Override
	public int compareTo(StorePosition other) {
		return ORDER.compare(this, other);
	}

}
