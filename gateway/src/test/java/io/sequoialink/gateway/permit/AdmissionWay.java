package io.sequoialink.gateway.permit;

/**
 * Ways to keep a limit that were weighed.
 */
enum AdmissionWay {

	/** Requests are sent as if no limit had been named. */
	IGNORE,

	/** Each host keeps the whole limit for itself. */
	EACH_ALONE,

	/** Each host keeps an equal share, with a random phase. */
	EQUAL_SHARES,

	/** Four hosts, drawn by rendezvous hashing, keep a quarter each; others send none. */
	FEW_HOSTS,

	/** Hosts ask the owners of the limit's slices for each request. */
	PERMITS

}
