package io.sequoialink.gateway.http;

/**
 * Limits the total memory of the responses that are buffered until they are complete and
 * their clients have taken them, and of incomplete events of streams. Confined to the
 * event loop.
 *
 * <p>
 * Invariant: while more than {@link #MAX_BYTES} are buffered in total, or there is no
 * room in the memory of all connections, each further reservation is reported as
 * exceeding the limit, so the response that is growing is aborted.
 */
public final class ResponseBufferLimit {

	/**
	 * Limit for all buffered responses; a fraction of the memory of the smallest hosts.
	 */
	static final long MAX_BYTES = 32L << 20;

	private final ConnectionMemory memory;

	private long bytes;

	/**
	 * Creates a limit in a process that has no other one.
	 */
	public ResponseBufferLimit() {
		this(ConnectionMemory.ofProcess());
	}

	/**
	 * Creates a limit.
	 * @param memory memory of all connections, of which the responses are a part
	 */
	public ResponseBufferLimit(ConnectionMemory memory) {
		this.memory = memory;
	}

	/**
	 * Returns the memory of all connections.
	 * @return the memory, of which the responses are a part
	 */
	ConnectionMemory memory() {
		return this.memory;
	}

	/**
	 * Reserves memory for a part of a response.
	 * @param count number of bytes
	 * @return whether the total is within the limit; the bytes are counted in any case
	 */
	boolean reserve(int count) {
		boolean room = this.memory.makeRoom(count, MAX_BYTES);
		this.bytes += count;
		this.memory.add(count);
		return room && this.bytes <= MAX_BYTES;
	}

	/**
	 * Releases the memory of a response.
	 * @param count number of bytes of all its parts
	 */
	void release(int count) {
		this.bytes -= count;
		this.memory.add(-count);
	}

	/**
	 * Returns the reserved memory.
	 * @return number of bytes
	 */
	long bytes() {
		return this.bytes;
	}

}
