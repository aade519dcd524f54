package io.sequoialink.gateway.http;

/**
 * Limits the total memory of the responses that are buffered until they are complete and
 * their clients have taken them, and of incomplete events of streams. Confined to the
 * event loop.
 *
 * <p>
 * Invariant: while more than {@link #MAX_BYTES} are buffered in total, each further
 * reservation is reported as exceeding the limit, so the response that is growing is
 * aborted.
 */
public final class ResponseBufferLimit {

	/**
	 * Limit for all buffered responses; a fraction of the memory of the smallest hosts.
	 */
	static final long MAX_BYTES = 32L << 20;

	private long bytes;

	/**
	 * Reserves memory for a part of a response.
	 * @param count number of bytes
	 * @return whether the total is within the limit; the bytes are counted in any case
	 */
	boolean reserve(int count) {
		this.bytes += count;
		return this.bytes <= MAX_BYTES;
	}

	/**
	 * Releases the memory of a response.
	 * @param count number of bytes of all its parts
	 */
	void release(int count) {
		this.bytes -= count;
	}

	/**
	 * Returns the reserved memory.
	 * @return number of bytes
	 */
	long bytes() {
		return this.bytes;
	}

}
