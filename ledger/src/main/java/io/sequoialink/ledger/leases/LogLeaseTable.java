package io.sequoialink.ledger.leases;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.sequoialink.ledger.claims.LogClaimTable;
import io.sequoialink.remote.AppendUnknownException;
import io.sequoialink.remote.LogRecord;
import io.sequoialink.remote.LogStream;
import io.sequoialink.remote.LogUnavailableException;
import io.sequoialink.remote.TrimmedException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Leases in the platform log.
 * <p>
 * Invariants: the holder's time runs from before its record was sent, a successor's wait
 * from after it read that record, so no clocks are compared; the successor waits the
 * whole lease and the longest order. A host waits as long after its own start, so that
 * leases that retention has removed have run out too.
 * <p>
 * Thread-safe: one monitor guards all state and is held while the log is called.
 */
public final class LogLeaseTable implements LeaseTable {

	private static final Logger logger = LoggerFactory.getLogger(LogLeaseTable.class);

	private static final int READ_BATCH = 512;

	private final LogStream stream;

	private final LongSupplier nanos;

	private final LogClaimTable.Pause pause;

	private final Supplier<String> ids;

	private final long usableNanos;

	private final long waitNanos;

	private final long timeoutNanos;

	private final long pauseNanos;

	private final Map<String, String> own = new HashMap<>();

	private Optional<LeaseFold> fold = Optional.empty();

	private long startNanos;

	private LogLeaseTable(Builder builder) {
		this.stream = builder.stream;
		this.nanos = builder.nanos;
		this.pause = builder.pause;
		this.ids = builder.ids;
		this.usableNanos = builder.duration.minus(builder.margin).toNanos();
		this.waitNanos = builder.duration.plus(builder.longestOrder).toNanos();
		this.timeoutNanos = builder.timeout.toNanos();
		this.pauseNanos = builder.retryPause.toNanos();
		this.startNanos = builder.nanos.getAsLong();
	}

	/**
	 * Returns a builder.
	 * @param stream the stream of leases
	 * @return the builder
	 */
	public static Builder builder(LogStream stream) {
		return new Builder(stream);
	}

	@Override
	public synchronized Optional<Lease> acquire(String resource) throws LogUnavailableException {
		poll();
		Optional<LeaseFold.Held> newest = fold().newest(resource);
		if (!mayFollow(resource, newest)) {
			return Optional.empty();
		}
		long sent = this.nanos.getAsLong();
		LeaseRecord.Acquire acquire = new LeaseRecord.Acquire(LeaseRecord.VERSION, this.ids.get(), resource,
				newest.map(LeaseFold.Held::fencingNumber).orElse(-1L));
		append(acquire, sent);
		return granted(acquire, sent);
	}

	@Override
	public boolean mayOrder(Lease lease) {
		return lease.deadlineNanos() - this.nanos.getAsLong() > 0;
	}

	@Override
	public synchronized void release(Lease lease) {
		this.own.remove(lease.resource());
		try {
			this.stream.append(List
				.of(new LeaseRecord.Release(LeaseRecord.VERSION, lease.resource(), lease.fencingNumber()).write()));
		}
		catch (LogUnavailableException | AppendUnknownException ex) {
			// The lease runs out by itself.
		}
	}

	private boolean mayFollow(String resource, Optional<LeaseFold.Held> newest) {
		if (newest.isEmpty()) {
			return waited(this.startNanos);
		}
		LeaseFold.Held held = newest.get();
		return held.released() || held.id().equals(this.own.get(resource)) || waited(held.seenNanos());
	}

	private boolean waited(long sinceNanos) {
		return this.nanos.getAsLong() - sinceNanos > this.waitNanos;
	}

	private void append(LeaseRecord.Acquire acquire, long sent) throws LogUnavailableException {
		try {
			this.stream.append(List.of(acquire.write()));
		}
		catch (AppendUnknownException ex) {
			awaitRecord(acquire, sent);
		}
	}

	private void awaitRecord(LeaseRecord.Acquire acquire, long sent) throws LogUnavailableException {
		while (this.nanos.getAsLong() - sent < this.timeoutNanos) {
			poll();
			if (isNewest(acquire)) {
				return;
			}
			sleep();
		}
		throw new LogUnavailableException("the answer to the lease on " + acquire.resource() + " was lost");
	}

	private Optional<Lease> granted(LeaseRecord.Acquire acquire, long sent) throws LogUnavailableException {
		poll();
		if (!isNewest(acquire)) {
			if (this.own.remove(acquire.resource()) != null) {
				logger.warn(LeaseEvents.LOST, acquire.resource(), acquire.previous());
			}
			return Optional.empty();
		}
		long number = fold().newest(acquire.resource()).orElseThrow().fencingNumber();
		this.own.put(acquire.resource(), acquire.id());
		logger.info(LeaseEvents.ACQUIRED, acquire.resource(), number);
		return Optional.of(new Lease(acquire.resource(), number, sent + this.usableNanos));
	}

	private boolean isNewest(LeaseRecord.Acquire acquire) {
		return fold().newest(acquire.resource()).filter((held) -> held.id().equals(acquire.id())).isPresent();
	}

	private LeaseFold fold() {
		return this.fold.orElseThrow();
	}

	private void poll() throws LogUnavailableException {
		if (this.fold.isEmpty()) {
			this.fold = Optional.of(new LeaseFold(this.stream.bounds().first()));
		}
		LeaseFold current = this.fold.get();
		try {
			List<LogRecord> records = this.stream.read(current.next(), READ_BATCH);
			while (!records.isEmpty()) {
				long seen = this.nanos.getAsLong();
				records.forEach((record) -> current.step(record, seen));
				records = this.stream.read(current.next(), READ_BATCH);
			}
		}
		catch (TrimmedException ex) {
			logger.warn(LeaseEvents.READER_TRIMMED, current.next(), ex.first());
			this.fold = Optional.empty();
			this.own.clear();
			this.startNanos = this.nanos.getAsLong();
			throw new LogUnavailableException("retention overtook the reader of leases", ex);
		}
	}

	private void sleep() throws LogUnavailableException {
		try {
			this.pause.sleep(this.pauseNanos);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new LogUnavailableException("interrupted; no lease is held", ex);
		}
	}

	/**
	 * Builds a {@link LogLeaseTable}. Not thread-safe.
	 */
	public static final class Builder {

		private final LogStream stream;

		private LongSupplier nanos = System::nanoTime;

		private LogClaimTable.Pause pause = TimeUnit.NANOSECONDS::sleep;

		private Supplier<String> ids = () -> UUID.randomUUID().toString();

		private Duration duration = Duration.ofSeconds(30);

		private Duration margin = Duration.ofSeconds(2);

		private Duration longestOrder = Duration.ofSeconds(10);

		private Duration timeout = Duration.ofSeconds(5);

		private Duration retryPause = Duration.ofMillis(50);

		private Builder(LogStream stream) {
			this.stream = Objects.requireNonNull(stream, "stream");
		}

		/**
		 * Sets the monotonic clock.
		 * @param clock nanoseconds since some fixed time
		 * @return this builder
		 */
		public Builder nanos(LongSupplier clock) {
			this.nanos = clock;
			return this;
		}

		/**
		 * Sets how a lost append answer is waited for.
		 * @param newPause waits for a time
		 * @return this builder
		 */
		public Builder pause(LogClaimTable.Pause newPause) {
			this.pause = newPause;
			return this;
		}

		/**
		 * Sets the source of the ids of attempts.
		 * @param source gives a text that no attempt of any host had before
		 * @return this builder
		 */
		public Builder ids(Supplier<String> source) {
			this.ids = source;
			return this;
		}

		/**
		 * Sets the times of a lease, which must be the same at all hosts.
		 * @param newDuration the time from before a lease is sent
		 * @param newMargin what the holder takes off
		 * @param newLongestOrder the longest time from the holder's check until its order
		 * has taken effect
		 * @return this builder
		 */
		public Builder times(Duration newDuration, Duration newMargin, Duration newLongestOrder) {
			this.duration = newDuration;
			this.margin = newMargin;
			this.longestOrder = newLongestOrder;
			return this;
		}

		/**
		 * Builds the table. Nothing is read before the first call.
		 * @return the table
		 */
		public LogLeaseTable build() {
			return new LogLeaseTable(this);
		}

	}

}
