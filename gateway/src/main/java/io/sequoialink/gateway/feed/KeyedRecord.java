package io.sequoialink.gateway.feed;

/**
 * A record of a keyed topic. Immutable by convention: the value is not changed.
 *
 * @param key key of the record
 * @param value value, empty if the key was dropped
 * @param offset offset of the record
 */
public record KeyedRecord(String key, byte[] value, long offset) {

	/**
	 * Returns whether the record drops its key.
	 * @return whether there is no value
	 */
	public boolean dropped() {
		return this.value.length == 0;
	}

}
