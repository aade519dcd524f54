package io.sequoialink.gateway.feed;

/**
 * A record of a compacted topic. Immutable by convention: nobody modifies the value.
 *
 * @param key key of the record
 * @param value value, empty if the record deletes the key
 * @param offset offset of the record
 */
public record KeyedRecord(String key, byte[] value, long offset) {

	/**
	 * Returns whether the record deletes its key.
	 * @return whether the value is empty
	 */
	public boolean deleted() {
		return this.value.length == 0;
	}

}
