package io.sequoialink.gateway.http;

import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.util.internal.PlatformDependent;
import io.sequoialink.gateway.GatewayEvents;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Limits the memory that a host holds for its clients and servers together: heads and
 * bodies of requests, input that is not decoded yet, buffered responses and unwritten
 * ones. Sizes are in bytes. Confined to the event loop.
 *
 * <p>
 * Invariant: while the limit is exceeded, no further request or response grows. A quarter
 * of the limit is open only to connections that hold little, so that large requests
 * cannot shut out small ones and the readiness probe. Room is made by closing the
 * connections that have held the most for the longest time. One whose request is being
 * processed is closed only if its client does not read the response; while the limit
 * itself is kept, none is closed that has held memory for less than
 * {@link #MIN_AGE_NANOS}.
 *
 * <p>
 * The limit is well below the maximum of direct memory, because a thread that allocates
 * direct memory beyond the maximum sleeps until the JDK has freed some.
 */
public final class ConnectionMemory {

	/** Bytes up to which a connection may use the reserved share. */
	static final int SMALL_BYTES = 64 << 10;

	/** Minimum time for which a connection holds memory before it may be closed. */
	static final long MIN_AGE_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** Time after which the client of a rejected request may retry, in milliseconds. */
	static final long RETRY_MILLIS = 1000;

	private static final Logger logger = LoggerFactory.getLogger(ConnectionMemory.class);

	/**
	 * Share of direct memory. The rest is for buffers of the sockets, fragmentation and
	 * the caches of the allocator.
	 */
	private static final double SHARE_OF_DIRECT = 5.0 / 8;

	/** Share of the heap, where heads are kept. */
	private static final double SHARE_OF_HEAP = 5.0 / 12;

	private static final double SHARE_OF_LARGE = 3.0 / 4;

	/**
	 * Time for which no connection to close is searched after none was found; each search
	 * looks at all connections.
	 */
	private static final long SEARCH_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	private static final long LOG_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(10);

	private final long limit;

	private final LongSupplier clock;

	private final Set<Holder> holders = Collections.newSetFromMap(new IdentityHashMap<>());

	private long bytes;

	private long closedConnections;

	private long rejectedRequests;

	private long lastLogNanos;

	private long noSearchUntilNanos;

	/**
	 * Creates a counter that holds nothing.
	 * @param limit maximum number of bytes
	 * @param clock monotonic time in nanoseconds
	 */
	ConnectionMemory(long limit, LongSupplier clock) {
		this.limit = limit;
		this.clock = clock;
		this.lastLogNanos = clock.getAsLong() - LOG_PERIOD_NANOS;
		this.noSearchUntilNanos = clock.getAsLong();
	}

	/**
	 * Creates a counter with a limit that suits the memory of this process.
	 * @return the counter
	 */
	public static ConnectionMemory ofProcess() {
		long direct = (long) (PlatformDependent.maxDirectMemory() * SHARE_OF_DIRECT);
		long heap = (long) (Runtime.getRuntime().maxMemory() * SHARE_OF_HEAP);
		return new ConnectionMemory(Math.min(direct, heap), System::nanoTime);
	}

	/**
	 * Registers a connection, which may be closed to make room from now on.
	 * @param holder the connection
	 */
	void register(Holder holder) {
		this.holders.add(holder);
	}

	void unregister(Holder holder) {
		this.holders.remove(holder);
	}

	/**
	 * Counts memory that is held already.
	 * @param count number of bytes; negative if they were released
	 */
	void add(long count) {
		this.bytes += count;
	}

	/**
	 * Returns whether there is room, after closing connections if need be.
	 * @param count number of further bytes
	 * @param heldBytes bytes that the connection holds, with these
	 * @return whether the bytes may be held; they are not counted yet
	 */
	boolean makeRoom(long count, long heldBytes) {
		long permitted = permitted(heldBytes);
		while (this.bytes + count > permitted) {
			if (this.clock.getAsLong() - this.noSearchUntilNanos < 0) {
				return false;
			}
			Optional<Holder> slowest = slowestLargest();
			if (slowest.isEmpty()) {
				this.noSearchUntilNanos = this.clock.getAsLong() + SEARCH_PAUSE_NANOS;
				return false;
			}
			this.closedConnections++;
			logOccasionally();
			slowest.get().closeForMemory();
		}
		return true;
	}

	/**
	 * Returns whether there is room without closing a connection.
	 * @param count number of further bytes
	 * @param heldBytes bytes that the connection holds, with these
	 * @return whether the bytes may be held
	 */
	boolean hasRoom(long count, long heldBytes) {
		return this.bytes + count <= permitted(heldBytes);
	}

	private long permitted(long heldBytes) {
		return (heldBytes > SMALL_BYTES) ? (long) (this.limit * SHARE_OF_LARGE) : this.limit;
	}

	// The memory that a connection occupies counts by its size and by how long it does.
	// Beyond the limit, as with many connections opened at once, any may be closed.
	private Optional<Holder> slowestLargest() {
		long now = this.clock.getAsLong();
		long minAge = (this.bytes > this.limit) ? 0 : MIN_AGE_NANOS;
		Holder found = null;
		double most = 0;
		for (Holder holder : this.holders) {
			long age = now - holder.heldSinceNanos();
			double occupied = (double) holder.closableBytes() * (age + 1);
			if (age >= minAge && occupied > most) {
				found = holder;
				most = occupied;
			}
		}
		return Optional.ofNullable(found);
	}

	/**
	 * Counts a request that was rejected because there was no room for it.
	 */
	void requestRejected() {
		this.rejectedRequests++;
		logOccasionally();
	}

	private void logOccasionally() {
		long now = this.clock.getAsLong();
		if (now - this.lastLogNanos >= LOG_PERIOD_NANOS) {
			this.lastLogNanos = now;
			logger.warn(GatewayEvents.CLIENT_MEMORY_SHORT, this.bytes, this.limit, this.holders.size(),
					this.closedConnections, this.rejectedRequests);
		}
	}

	/**
	 * Returns the memory that is held.
	 * @return number of bytes
	 */
	public long bytes() {
		return this.bytes;
	}

	/**
	 * Returns the maximum.
	 * @return number of bytes
	 */
	public long limit() {
		return this.limit;
	}

	/**
	 * Returns the number of connections that were closed to make room.
	 * @return connections since the start
	 */
	public long closedConnections() {
		return this.closedConnections;
	}

	/**
	 * Returns the number of requests that were rejected because there was no room.
	 * @return requests since the start
	 */
	public long rejectedRequests() {
		return this.rejectedRequests;
	}

	/**
	 * A connection that holds memory. Confined to the event loop.
	 */
	interface Holder {

		/**
		 * Returns what would be released if the connection were closed now.
		 * @return number of bytes; 0 if it must not be closed
		 */
		long closableBytes();

		/**
		 * Returns since when the connection has been holding memory.
		 * @return monotonic time in nanoseconds
		 */
		long heldSinceNanos();

		/**
		 * Ends what the connection is receiving or sending; afterwards
		 * {@link #closableBytes()} is 0.
		 */
		void closeForMemory();

	}

}
