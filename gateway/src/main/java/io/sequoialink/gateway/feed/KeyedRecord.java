package io.sequoialink.gateway.feed;

import io.sequoialink.gateway.fleet.StorePosition;

/**
 * A record of a compacted topic. Immutable by convention: nobody modifies the value.
 *
 * @param key key of the record
 * @param value value, empty if the record deletes the key
 * @param position position of the record
 */
public record KeyedRecord(String key, byte[] value, StorePosition position) {

	/**
	 * Creates a record of a store that names no era.
	 * @param key key of the record
	 * @param value value, empty if the record deletes the key
	 * @param offset offset of the record
	 */
	public KeyedRecord(String key, byte[] value, long offset) {
		this(key, value, new StorePosition(StorePosition.NO_ERA, offset));
	}

	/**
	 * Returns the record's offset, which is meaningful only within its era.
	 * @return the offset
	 */
	public long offset() {
		return this.position.offset();
	}

	/**
	 * Returns whether the record deletes its key.
	 * @return whether the value is empty
	 */
	public boolean deleted() {
		return this.value.length == 0;
	}

}
