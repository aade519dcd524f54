package io.sequoialink.gateway.relay;

import java.util.function.LongSupplier;

/**
 * Limits the bytes that this host's gossip sends, of all kinds together. Confined to the
 * event loop.
 */
public final class GossipBudget {

	/** Size of the IP and UDP headers of a datagram. */
	private static final int HEADER_BYTES = 28;

	/** Maximum number of bytes sent in a round, headers included. */
	private static final int MAX_ROUND_BYTES = GossipTargets.HOSTS_PER_ROUND
			* (BatchFormat.MAX_DATAGRAM_BYTES + HEADER_BYTES);

	private final LongSupplier clock;

	private int maxBytesPerSecond;

	private double available;

	private long bytesSent;

	private long lastNanos;

	/**
	 * Creates a budget of which nothing has been spent.
	 * @param maxBytesPerSecond maximum bytes sent per second, headers included; 0 sends
	 * nothing
	 * @param clock monotonic time in nanoseconds
	 */
	public GossipBudget(int maxBytesPerSecond, LongSupplier clock) {
		this.maxBytesPerSecond = maxBytesPerSecond;
		this.clock = clock;
		this.lastNanos = clock.getAsLong();
	}

	/**
	 * Changes the maximum number of bytes sent per second.
	 * @param maxBytes the maximum, headers included; 0 sends nothing
	 */
	public void setMaxBytesPerSecond(int maxBytes) {
		this.maxBytesPerSecond = maxBytes;
	}

	/**
	 * Returns whether the budget allows a round, whatever the round sends.
	 * @return whether a round of the largest size may be sent now
	 */
	public boolean allowsRound() {
		long now = this.clock.getAsLong();
		this.available = Math.min(Math.max(this.maxBytesPerSecond, MAX_ROUND_BYTES),
				this.available + this.maxBytesPerSecond * (now - this.lastNanos) / 1e9);
		this.lastNanos = now;
		return this.available >= MAX_ROUND_BYTES;
	}

	/**
	 * Records that a datagram is sent.
	 * @param payloadBytes size of its payload
	 */
	public void spend(int payloadBytes) {
		this.available -= payloadBytes + HEADER_BYTES;
		this.bytesSent += payloadBytes + HEADER_BYTES;
	}

	/**
	 * Returns the number of bytes sent since the start.
	 * @return bytes, headers included
	 */
	public long bytesSent() {
		return this.bytesSent;
	}

}
