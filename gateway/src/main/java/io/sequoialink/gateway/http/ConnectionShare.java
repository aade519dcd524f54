package io.sequoialink.gateway.http;

/**
 * The part of {@link ConnectionMemory} that one connection holds for heads, input that is
 * not decoded yet and unwritten responses. Confined to the event loop.
 *
 * <p>
 * Invariant: the bytes of this share are counted in the memory exactly once, and none
 * after {@link #close()}.
 */
final class ConnectionShare {

	/**
	 * Memory of a header field beyond its characters, in bytes: its entries in the
	 * client's head and in the one sent to the server, and the strings of both.
	 */
	private static final int FIELD_BYTES = 256;

	private final ConnectionMemory memory;

	private long headBytes;

	private long inputBytes;

	private long outputBytes;

	ConnectionShare(ConnectionMemory memory) {
		this.memory = memory;
	}

	/**
	 * Counts a header field.
	 * @param characters length of its name and value
	 * @throws NoRoomException if there is no room for it
	 */
	void addField(int characters) {
		int count = FIELD_BYTES + 2 * characters;
		if (!this.memory.makeRoom(count, bytes() + count)) {
			throw new NoRoomException();
		}
		this.headBytes += count;
		this.memory.add(count);
	}

	/**
	 * Releases the header fields of the request that has ended.
	 */
	void clearHead() {
		this.memory.add(-this.headBytes);
		this.headBytes = 0;
	}

	/**
	 * Replaces the size of the input that has not been decoded.
	 * @param count number of bytes
	 */
	void setInput(long count) {
		this.memory.add(count - this.inputBytes);
		this.inputBytes = count;
	}

	/**
	 * Replaces the size of the output that has not been written.
	 * @param count number of bytes
	 */
	void setOutput(long count) {
		this.memory.add(count - this.outputBytes);
		this.outputBytes = count;
	}

	long bytes() {
		return this.headBytes + this.inputBytes + this.outputBytes;
	}

	void close() {
		clearHead();
		setInput(0);
		setOutput(0);
	}

	/**
	 * There is no room for a further header field.
	 */
	static final class NoRoomException extends RuntimeException {

		private static final long serialVersionUID = 1L;

		NoRoomException() {
			super("no room for a header field", null, false, false);
		}

	}

}
