package io.sequoialink.gateway.http;

import java.util.concurrent.TimeUnit;

/**
 * How long a stream that has begun and was broken off waits for a server that can go on
 * with it. The client can't repeat it without losing what it has, so it is not cut at
 * once: the path to the servers, or another host that helps, may be back soon. Confined
 * to the event loop.
 */
final class StreamPatience {

	/** Time between two attempts to find a server, in milliseconds. */
	static final long STEP_MILLIS = 100;

	/**
	 * Time for which a stream waits after it was broken off. A host that was killed is
	 * back after one or two seconds, and a path is tried twice a second.
	 */
	private static final long MAX_NANOS = TimeUnit.SECONDS.toNanos(3);

	private boolean begun;

	private long brokenOffNanos;

	/**
	 * Records that an attempt ended without a complete response.
	 * @param nowNanos current monotonic time in nanoseconds
	 */
	void brokenOff(long nowNanos) {
		this.begun = true;
		this.brokenOffNanos = nowNanos;
	}

	/**
	 * Returns whether to wait for another step.
	 * @param nowNanos current monotonic time in nanoseconds
	 * @return false if the stream has waited long enough
	 */
	boolean waits(long nowNanos) {
		if (!this.begun) {
			brokenOff(nowNanos);
		}
		return nowNanos - this.brokenOffNanos < MAX_NANOS;
	}

}
