package io.sequoialink.gateway.feed;

/**
 * The way by which a record came to this host.
 */
public enum ReadPath {

	/** This host read the newest record of each key. */
	SNAPSHOT,

	/**
	 * This host read the newest record of each key for the first time since the store
	 * returned from an older copy, so the record may be older than one it has read
	 * before.
	 */
	RETURNED_COPY,

	/** This host read the records that follow those it had. */
	POLL,

	/** Another host read the record and forwarded it. */
	FORWARDED

}
