package io.sequoialink.gateway.fleet;

/**
 * A value with the position of the record that contains it. Immutable.
 *
 * @param value the value
 * @param position position of the record in its topic
 * @param <T> type of the value
 */
public record PositionedValue<T>(T value, StorePosition position) {

	/**
	 * Creates a value of a store that names no era.
	 * @param value the value
	 * @param offset offset of the record in its topic
	 */
	public PositionedValue(T value, long offset) {
		this(value, new StorePosition(StorePosition.NO_ERA, offset));
	}

	/**
	 * Returns the record's offset, which is meaningful only within its era.
	 * @return the offset
	 */
	public long offset() {
		return this.position.offset();
	}

	/**
	 * Returns whether a record was written after another one under the same key, as far
	 * as positions tell.
	 * @param other the other record
	 * @return whether it comes later in the same era, or is of another era
	 */
	public boolean mayReplace(PositionedValue<T> other) {
		return inOtherEra(other) || this.position.offset() > other.position.offset();
	}

	/**
	 * Returns whether the store has returned from an older copy between two records.
	 * @param other the other record
	 * @return whether their eras differ
	 */
	public boolean inOtherEra(PositionedValue<T> other) {
		return this.position.era() != other.position.era();
	}

}
