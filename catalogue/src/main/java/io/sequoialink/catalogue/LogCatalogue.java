package io.sequoialink.catalogue;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import io.sequoialink.model.CatalogueView;
import io.sequoialink.remote.LogRecord;
import io.sequoialink.remote.LogStream;
import io.sequoialink.remote.LogUnavailableException;
import io.sequoialink.remote.TrimmedException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The configuration as folded from the platform log, or from peers while the log can't be
 * read. The owner drives it by calling {@link #poll} and {@link #writeCheckpointIfDue},
 * unless {@link #start} was called.
 * <p>
 * Invariants: the view is always the fold of a prefix of the log and never goes
 * backwards; {@link #age} never understates how old the view may be.
 * <p>
 * Thread-safe. Lock order: {@code pollLock}, which is held while the log is read, then
 * the monitor of the fold table, which is held for work in memory only. Records of peers
 * are folded without {@code pollLock}, so that a log that does not answer can't delay
 * them.
 */
public final class LogCatalogue implements Catalogue, AutoCloseable {

	/** The age before the first confirmation. */
	public static final Duration NEVER = Duration.ofDays(365);

	private static final Logger logger = LoggerFactory.getLogger(LogCatalogue.class);

	private static final int READ_BATCH = 512;

	private final LogStream stream;

	private final LongSupplier nanos;

	private final FoldTable table;

	private final CheckpointReader reader;

	private final ReentrantLock pollLock = new ReentrantLock();

	private final CheckpointWriter checkpoints;

	private final ChangePublisher publisher;

	private final PollThread thread;

	private boolean joined;

	private boolean readable = true;

	private LogCatalogue(Builder builder) {
		this.stream = builder.stream;
		this.nanos = builder.nanos;
		this.reader = builder.checkpointReader;
		this.table = new FoldTable(this.reader);
		this.checkpoints = new CheckpointWriter(builder.stream, builder.checkpointWriter, builder.wallMillis,
				builder.checkpointChanges, builder.checkpointAge);
		this.publisher = new ChangePublisher(builder.stream, this.table, this::poll,
				new ChangePublisher.Timing(builder.nanos, builder.sleeper, builder.applyTimeout, builder.retryPause));
		this.thread = new PollThread(this, builder.pollPeriod);
	}

	/**
	 * Returns a builder.
	 * @param stream the configuration stream
	 * @return the builder
	 */
	public static Builder builder(LogStream stream) {
		return new Builder(stream);
	}

	@Override
	public CatalogueView view() {
		return this.table.state().view();
	}

	/**
	 * Returns the state of the fold.
	 * @return the state
	 */
	public FoldState state() {
		return this.table.state();
	}

	@Override
	public Duration age() {
		Optional<Long> confirmed = this.table.confirmedNanos();
		return confirmed.map((at) -> Duration.ofNanos(this.nanos.getAsLong() - at)).orElse(NEVER);
	}

	@Override
	public Verdict apply(Change change) throws LogUnavailableException {
		return this.publisher.publish(change);
	}

	@Override
	public List<Verdict> history(int limit) {
		return this.table.history(limit);
	}

	/**
	 * Reads the log to its end and folds what is new.
	 * @return the number of folded records
	 * @throws LogUnavailableException if the log did not answer; what was read before is
	 * folded
	 */
	public int poll() throws LogUnavailableException {
		this.pollLock.lock();
		try {
			int folded = readToEnd();
			noteReadable();
			return folded;
		}
		catch (LogUnavailableException ex) {
			noteUnreadable(ex);
			throw ex;
		}
		finally {
			this.pollLock.unlock();
		}
	}

	/**
	 * Writes a checkpoint if one is due and this host is to write it. A failure is
	 * reported as an event and tried again at the next call.
	 * @return whether a whole checkpoint was appended
	 */
	public boolean writeCheckpointIfDue() {
		return this.checkpoints.writeIfDue(this.table.state(), this.table.backlog());
	}

	/**
	 * Returns what this host can tell a peer.
	 * @param offset the first offset that the peer lacks
	 * @param max the most records to return
	 * @return the records from that offset on, or from the oldest held one on if that is
	 * newer, which is where a whole checkpoint's tail begins
	 */
	public PeerTail recordsSince(long offset, int max) {
		Duration age = age();
		return new PeerTail(this.table.since(offset, max), this.table.state().next(), age);
	}

	/**
	 * Returns the offset to ask a peer for.
	 * @return the first offset that this host lacks
	 */
	public long wantedFromPeer() {
		return this.table.wantedFromPeer();
	}

	/**
	 * Folds records that a peer sent: those that continue the own tail, or a whole
	 * checkpoint with its tail if this host lacks more than the peer holds.
	 * @param records records of the log in the order of their offsets
	 * @return the number of folded records
	 */
	public int acceptFromPeer(List<LogRecord> records) {
		return this.table.foldFromPeer(records);
	}

	/**
	 * Folds the answer of a peer and takes over its confirmation. The age stays true
	 * however late the answer arrives, because it is counted from the question.
	 * @param answer the peer's answer
	 * @param askedNanos this process's monotonic clock before it asked the peer; an
	 * answer to an earlier process must not be handed over
	 * @return the number of folded records
	 */
	public int acceptFromPeer(PeerTail answer, long askedNanos) {
		int folded = acceptFromPeer(answer.records());
		boolean asked = this.nanos.getAsLong() - askedNanos >= 0;
		if (asked && !answer.age().isNegative() && answer.age().compareTo(NEVER) < 0) {
			this.table.confirm(answer.next(), askedNanos - answer.age().toNanos());
		}
		return folded;
	}

	/**
	 * Starts a thread that polls and writes checkpoints until {@link #close}.
	 */
	public void start() {
		this.thread.start();
	}

	/**
	 * Ends the thread that {@link #start} started, if any.
	 */
	@Override
	public void close() {
		this.thread.close();
	}

	private int readToEnd() throws LogUnavailableException {
		if (!this.joined) {
			join();
		}
		int folded = 0;
		while (true) {
			long asked = this.nanos.getAsLong();
			long next = this.table.state().next();
			try {
				List<LogRecord> records = this.stream.read(next, READ_BATCH);
				if (records.isEmpty()) {
					this.table.confirm(next, asked);
					return folded;
				}
				folded += this.table.fold(records);
			}
			catch (TrimmedException ex) {
				logger.warn(CatalogueEvents.READER_TRIMMED, next, ex.first());
				if (!rebuild(ex.first())) {
					return folded;
				}
			}
		}
	}

	private void join() throws LogUnavailableException {
		Optional<CheckpointAssembler.Whole> newest = CheckpointFinder.newest(this.stream, this.reader);
		newest.ifPresent((whole) -> {
			this.table.jump(whole);
			logger.info(CatalogueEvents.JOINED, whole.covers(), this.table.state().next() - 1);
		});
		this.joined = true;
	}

	private boolean rebuild(long first) throws LogUnavailableException {
		Optional<CheckpointAssembler.Whole> newest = CheckpointFinder.newest(this.stream, this.reader);
		if (newest.isEmpty()) {
			logger.error(CatalogueEvents.NO_CHECKPOINT, first, this.table.state().next() - 1);
			return false;
		}
		this.table.jump(newest.get());
		logger.info(CatalogueEvents.JOINED, newest.get().covers(), this.table.state().next() - 1);
		return true;
	}

	private void noteReadable() {
		if (!this.readable) {
			this.readable = true;
			logger.info(CatalogueEvents.LOG_READABLE, this.table.state().next() - 1);
		}
	}

	private void noteUnreadable(LogUnavailableException ex) {
		if (this.readable) {
			this.readable = false;
			logger.warn(CatalogueEvents.LOG_UNREADABLE, ex.getMessage());
		}
	}

	/**
	 * Builds a {@link LogCatalogue}. Not thread-safe.
	 */
	public static final class Builder {

		private final LogStream stream;

		private LongSupplier nanos = System::nanoTime;

		private LongSupplier wallMillis = System::currentTimeMillis;

		private Sleeper sleeper = TimeUnit.NANOSECONDS::sleep;

		private Duration applyTimeout = Duration.ofSeconds(10);

		private Duration retryPause = Duration.ofMillis(50);

		private Duration pollPeriod = Duration.ofMillis(500);

		private CheckpointReader checkpointReader = Checkpoint::read;

		private BooleanSupplier checkpointWriter = () -> false;

		private int checkpointChanges = 256;

		private Duration checkpointAge = Duration.ofHours(1);

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
		 * Sets the wall clock, against which the age of the oldest needed record is
		 * taken. Its error must stay far below {@link #checkpointAge}.
		 * @param clock epoch milliseconds
		 * @return this builder
		 */
		public Builder wallMillis(LongSupplier clock) {
			this.wallMillis = clock;
			return this;
		}

		/**
		 * Sets how {@link Catalogue#apply} waits between two looks at the log.
		 * @param newSleeper waits for a time
		 * @return this builder
		 */
		public Builder sleeper(Sleeper newSleeper) {
			this.sleeper = newSleeper;
			return this;
		}

		/**
		 * Sets how long {@link Catalogue#apply} tries to settle a change.
		 * @param timeout the longest time
		 * @return this builder
		 */
		public Builder applyTimeout(Duration timeout) {
			this.applyTimeout = timeout;
			return this;
		}

		/**
		 * Sets the time between two looks at the log while a change is settled.
		 * @param pause the pause
		 * @return this builder
		 */
		public Builder retryPause(Duration pause) {
			this.retryPause = pause;
			return this;
		}

		/**
		 * Sets the time between two polls of the thread that {@link #start} starts.
		 * @param period the period
		 * @return this builder
		 */
		public Builder pollPeriod(Duration period) {
			this.pollPeriod = period;
			return this;
		}

		/**
		 * Sets which host writes checkpoints. Two hosts that both do are harmless.
		 * @param predicate whether this host is to write one now
		 * @return this builder
		 */
		public Builder checkpointWriter(BooleanSupplier predicate) {
			this.checkpointWriter = predicate;
			return this;
		}

		/**
		 * Sets after how many changes a checkpoint is due.
		 * @param changes changes since the newest whole checkpoint
		 * @return this builder
		 */
		public Builder checkpointChanges(int changes) {
			this.checkpointChanges = changes;
			return this;
		}

		/**
		 * Sets at which age of the oldest record that a rebuild needs a checkpoint is
		 * due: at most a quarter of the log's retention.
		 * @param age the age
		 * @return this builder
		 */
		public Builder checkpointAge(Duration age) {
			this.checkpointAge = age;
			return this;
		}

		Builder checkpointReader(CheckpointReader reader) {
			this.checkpointReader = reader;
			return this;
		}

		/**
		 * Builds the catalogue. Nothing is read before the first poll.
		 * @return the catalogue
		 */
		public LogCatalogue build() {
			return new LogCatalogue(this);
		}

	}

}
