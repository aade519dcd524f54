package io.sequoialink.soak;

/**
 * Limits that the hosts get in their settings and configuration and that the checks
 * enforce.
 */
final class Bounds {

	/** Time within which a host must apply a configuration change, in milliseconds. */
	static final int CONFIG_APPLY_MILLIS = 2000;

	/**
	 * Time after which a server whose record in the store says that it drains must get no
	 * more requests, in milliseconds.
	 */
	static final int DRAIN_MILLIS = 2000;

	/**
	 * Time within which the evacuation of a zone must take effect, in milliseconds.
	 */
	static final int EVACUATION_MILLIS = 5000;

	/**
	 * Time after the last disturbance from which a host must keep time limits again, in
	 * milliseconds.
	 */
	static final int STABILIZATION_MILLIS = 3000;

	/** Time within which a host must stop gracefully, in seconds. */
	static final int HOST_STOP_SECONDS = 8;

	/** Timeout of a request on every route, in milliseconds. */
	static final int REQUEST_TIMEOUT_MILLIS = 4000;

	/**
	 * Time beyond {@link #REQUEST_TIMEOUT_MILLIS} within which the final response must
	 * arrive, in milliseconds.
	 */
	static final int RESPONSE_GRACE_MILLIS = 500;

	/**
	 * Time within which a server's work on a request must be cancelled after the client
	 * has disconnected, in milliseconds.
	 */
	static final int CANCEL_MILLIS = 500;

	/** Largest number of executions of one request that hosts may retry. */
	static final int MAX_ATTEMPTS = 3;

	/**
	 * Time after a server's shutdown or back-off signal within which requests that were
	 * already in flight may still reach it, in milliseconds.
	 */
	static final int SIGNAL_GRACE_MILLIS = 500;

	/**
	 * Number of requests that a host may send to a server during a back-off, apart from
	 * those within {@link #SIGNAL_GRACE_MILLIS}.
	 */
	static final int MAX_BACKOFF_PROBES = 2;

	/** Length of the windows over which a server's limit is checked, in milliseconds. */
	static final int LIMIT_WINDOW_MILLIS = 4000;

	/** A window may have this many times the requests that a server's limit allows. */
	static final double LIMIT_FACTOR = 1.5;

	/** Number of requests that a window may have beyond that. */
	static final int LIMIT_SLACK = 5;

	/** Requests a second that a cold server takes from all hosts together. */
	static final int COLD_PER_SECOND = 6;

	/** Time for which a server that starts cold stays so, in milliseconds. */
	static final int COLD_MILLIS = 4500;

	/** Requests of all hosts that a cold server may get in any one second. */
	static final int MAX_COLD_ARRIVALS = (int) (COLD_PER_SECOND * 1.5 + 5);

	/** Number of crashes by a prompt part after which hosts must keep it from servers. */
	static final int CRASHES_BEFORE_PART_BOUND = 5;

	/**
	 * Number of requests with such a part that may still reach servers, over all hosts.
	 */
	static final int MAX_PART_ARRIVALS = 3;

	/** Number of harmless requests from which the share that is served is checked. */
	static final int MIN_HARMLESS_REQUESTS = 20;

	private Bounds() {
	}

	static long millisToNanos(long millis) {
		return millis * 1_000_000L;
	}

}
