package io.sequoialink.gateway.http;

/**
 * Memory of the answers that are held until they are whole, of all requests together.
 * Confined to the event loop.
 *
 * <p>
 * Invariant: answers that hold more than {@link #MAX_BYTES} in all are told so with each
 * further piece, so the one that grows is broken off.
 */
public final class HeldAnswers {

	/** Bytes for all of them; a part of the memory of the smallest hosts. */
	static final long MAX_BYTES = 32L << 20;

	private long bytes;

	/**
	 * A piece of an answer is held.
	 * @param count its bytes
	 * @return whether there was room for it; it counts in any case
	 */
	boolean take(int count) {
		this.bytes += count;
		return this.bytes <= MAX_BYTES;
	}

	/**
	 * An answer is held no longer.
	 * @param count the bytes of all its pieces
	 */
	void give(int count) {
		this.bytes -= count;
	}

	/**
	 * Returns how much is held.
	 * @return bytes
	 */
	long bytes() {
		return this.bytes;
	}

}
