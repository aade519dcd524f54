package io.sequoialink.ledger.claims;

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

import io.sequoialink.ledger.ClaimDecision;
import io.sequoialink.ledger.ClaimKey;
import io.sequoialink.ledger.ClaimTable;
import io.sequoialink.ledger.RecordedOutcome;
import io.sequoialink.model.RequestId;
import io.sequoialink.remote.AppendUnknownException;
import io.sequoialink.remote.LogStream;
import io.sequoialink.remote.LogUnavailableException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Claims in the platform log. The owner drives the background records by calling
 * {@link #flush}, unless {@link #start} was called.
 * <p>
 * Invariants: work is dispatched only under a claim that won in log order, once, and
 * within the freshness time of this host's monotonic clock, counted from before the log
 * was first read for it; a claim never passes to another host; a claim that was not
 * settled in time is never dispatched and is released when the log returns.
 * <p>
 * A key is held at least for the window after its claim, by the log's clock; an older key
 * counts as new. The window must be shorter than the log's retention and longer than the
 * freshness time and the longest call together.
 * <p>
 * Thread-safe. Lock order: the reader's monitor is never held together with the others.
 */
public final class LogClaimTable implements ClaimTable, AutoCloseable {

	/** The most keys that may stand before new claims are refused. */
	public static final int MAX_KEYS = 200_000;

	private static final Logger logger = LoggerFactory.getLogger(LogClaimTable.class);

	private final GroupAppender appender;

	private final ClaimReader reader;

	private final OutcomeQueue queue;

	private final LongSupplier nanos;

	private final Pause pause;

	private final Supplier<String> ids;

	private final LongSupplier wallMillis;

	private final long longestCallMillis;

	private final long windowNanos;

	private final long freshnessNanos;

	private final long pauseNanos;

	private final Map<Long, OwnClaim> own = new HashMap<>();

	private LogClaimTable(Builder builder) {
		this.appender = new GroupAppender(builder.stream);
		this.reader = new ClaimReader(builder.stream, builder.window.toMillis());
		this.queue = new OutcomeQueue(builder.stream);
		this.nanos = builder.nanos;
		this.pause = builder.pause;
		this.ids = builder.ids;
		this.wallMillis = builder.wallMillis;
		this.longestCallMillis = builder.longestCall.toMillis();
		this.windowNanos = builder.window.toNanos();
		this.freshnessNanos = builder.freshness.minus(builder.margin).toNanos();
		this.pauseNanos = builder.retryPause.toNanos();
	}

	/**
	 * Returns a builder.
	 * @param stream the stream of claims
	 * @return the builder
	 */
	public static Builder builder(LogStream stream) {
		return new Builder(stream);
	}

	@Override
	public ClaimDecision claim(ClaimKey key, RequestId request, String fingerprint, Duration timeout)
			throws LogUnavailableException {
		long started = this.nanos.getAsLong();
		Optional<ClaimDecision> standing = pollAndDecide(key, fingerprint);
		if (standing.isPresent()) {
			return standing.get();
		}
		if (this.reader.size() >= MAX_KEYS) {
			throw new LogUnavailableException("too many claims stand; the work is not run and will not be");
		}
		ClaimRecord.Claim claim = new ClaimRecord.Claim(this.ids.get(), key, request, fingerprint);
		this.reader.await(claim.claimId());
		try {
			return settle(claim, started, started + timeout.toNanos());
		}
		finally {
			this.reader.forget(claim.claimId());
		}
	}

	@Override
	public boolean mayDispatch(ClaimDecision.Granted claim) {
		synchronized (this.own) {
			OwnClaim held = this.own.get(claim.offset());
			if (held == null || held.asked) {
				return false;
			}
			held.asked = true;
			boolean fresh = this.nanos.getAsLong() - held.startedNanos < this.freshnessNanos;
			if (!fresh) {
				logger.warn(ClaimEvents.LAPSED, claim.offset());
			}
			return fresh;
		}
	}

	@Override
	public void recordOutcome(ClaimDecision.Granted claim, RecordedOutcome outcome) {
		end(claim).ifPresent((claimId) -> this.queue.add(new ClaimRecord.Outcome(claimId, claim.key(), outcome)));
	}

	@Override
	public void recordNotDispatched(ClaimDecision.Granted claim) {
		end(claim).ifPresent((claimId) -> this.queue.add(new ClaimRecord.Release(claimId, claim.key())));
	}

	@Override
	public int flush() {
		return this.queue.flush();
	}

	/**
	 * Starts a thread that flushes until {@link #close}.
	 */
	public void start() {
		this.queue.start();
	}

	/**
	 * Ends the thread that {@link #start} started, after one last attempt.
	 */
	@Override
	public void close() {
		this.queue.close();
	}

	private Optional<ClaimDecision> pollAndDecide(ClaimKey key, String fingerprint) throws LogUnavailableException {
		try {
			this.reader.poll();
			return decide(key, fingerprint, "");
		}
		catch (LogUnavailableException ex) {
			// A claim that is known to stand is a better answer than 'not run'.
			Optional<ClaimDecision> known = decide(key, fingerprint, "");
			if (known.isEmpty()) {
				throw ex;
			}
			return known;
		}
	}

	private ClaimDecision settle(ClaimRecord.Claim claim, long started, long deadline) throws LogUnavailableException {
		boolean appended = firstAppend(claim);
		while (true) {
			Optional<ClaimFold.Verdict> verdict = readVerdict(claim);
			if (verdict.isPresent()) {
				return conclude(claim, verdict.get(), started);
			}
			if (this.nanos.getAsLong() - deadline >= 0) {
				throw abandon(claim);
			}
			if (!appended) {
				appended = appendAgain(claim);
			}
			pause(claim);
		}
	}

	private ClaimDecision conclude(ClaimRecord.Claim claim, ClaimFold.Verdict verdict, long started) {
		if (verdict.won()) {
			synchronized (this.own) {
				this.own.values().removeIf((held) -> started - held.startedNanos > this.windowNanos);
				this.own.put(verdict.offset(), new OwnClaim(claim.claimId(), started));
			}
			return new ClaimDecision.Granted(claim.key(), verdict.offset());
		}
		this.queue.add(new ClaimRecord.Release(claim.claimId(), claim.key()));
		return decide(claim.key(), claim.fingerprint(), claim.claimId())
			.orElseGet(() -> new ClaimDecision.InProgress(verdict.offset()));
	}

	private Optional<ClaimDecision> decide(ClaimKey key, String fingerprint, String ownId) {
		List<ClaimFold.Standing> claims = this.reader.standing(key)
			.stream()
			.filter((claim) -> !claim.claimId().equals(ownId))
			.toList();
		if (claims.isEmpty()) {
			return Optional.empty();
		}
		ClaimFold.Standing first = claims.get(0);
		if (!first.fingerprint().equals(fingerprint)) {
			return Optional.of(new ClaimDecision.KeyReused(first.offset()));
		}
		for (ClaimFold.Standing claim : claims) {
			if (claim.outcomeOffset().isPresent()) {
				return Optional.of(replay(claim));
			}
		}
		return Optional.of(stale(first) ? new ClaimDecision.OutcomeUnknown(first.offset())
				: new ClaimDecision.InProgress(first.offset()));
	}

	private ClaimDecision replay(ClaimFold.Standing claim) {
		try {
			return new ClaimDecision.Replay(this.reader.outcome(claim.outcomeOffset().orElseThrow()));
		}
		catch (LogUnavailableException ex) {
			return new ClaimDecision.OutcomeUnknown(claim.offset());
		}
	}

	private boolean stale(ClaimFold.Standing claim) {
		return this.wallMillis.getAsLong() - claim.atMillis() > this.longestCallMillis;
	}

	private boolean firstAppend(ClaimRecord.Claim claim) throws LogUnavailableException {
		try {
			this.appender.append(claim.write());
			return true;
		}
		catch (AppendUnknownException ex) {
			return false;
		}
	}

	private boolean appendAgain(ClaimRecord.Claim claim) {
		try {
			return firstAppend(claim);
		}
		catch (LogUnavailableException ex) {
			return false;
		}
	}

	private Optional<ClaimFold.Verdict> readVerdict(ClaimRecord.Claim claim) {
		try {
			this.reader.poll();
		}
		catch (LogUnavailableException ex) {
			// The deadline bounds the wait.
		}
		return this.reader.verdict(claim.claimId());
	}

	private LogUnavailableException abandon(ClaimRecord.Claim claim) {
		logger.warn(ClaimEvents.ABANDONED, claim.claimId());
		this.queue.add(new ClaimRecord.Release(claim.claimId(), claim.key()));
		return new LogUnavailableException(
				"claim " + claim.claimId() + " was not settled; its work was not run and will not be");
	}

	private void pause(ClaimRecord.Claim claim) throws LogUnavailableException {
		try {
			this.pause.sleep(this.pauseNanos);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw abandon(claim);
		}
	}

	private Optional<String> end(ClaimDecision.Granted claim) {
		synchronized (this.own) {
			return Optional.ofNullable(this.own.remove(claim.offset())).map((held) -> held.claimId);
		}
	}

	/**
	 * Waits for some time. Implementations are thread-safe.
	 */
	@FunctionalInterface
	public interface Pause {

		/**
		 * Waits.
		 * @param nanos the time in nanoseconds
		 * @throws InterruptedException if the thread was interrupted
		 */
		void sleep(long nanos) throws InterruptedException;

	}

	private static final class OwnClaim {

		private final String claimId;

		private final long startedNanos;

		private boolean asked;

		private OwnClaim(String claimId, long startedNanos) {
			this.claimId = claimId;
			this.startedNanos = startedNanos;
		}

	}

	/**
	 * Builds a {@link LogClaimTable}. Not thread-safe.
	 */
	public static final class Builder {

		private final LogStream stream;

		private LongSupplier nanos = System::nanoTime;

		private Pause pause = TimeUnit.NANOSECONDS::sleep;

		private Supplier<String> ids = () -> UUID.randomUUID().toString();

		private Duration window = Duration.ofHours(1);

		private Duration freshness = Duration.ofSeconds(10);

		private LongSupplier wallMillis = System::currentTimeMillis;

		private Duration longestCall = Duration.ofMinutes(1);

		private Duration margin = Duration.ofSeconds(1);

		private Duration retryPause = Duration.ofMillis(20);

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
		 * Sets how a claim waits between two looks at the log.
		 * @param newPause waits for a time
		 * @return this builder
		 */
		public Builder pause(Pause newPause) {
			this.pause = newPause;
			return this;
		}

		/**
		 * Sets the source of claim ids.
		 * @param source gives a text that no claim of any host had before
		 * @return this builder
		 */
		public Builder ids(Supplier<String> source) {
			this.ids = source;
			return this;
		}

		/**
		 * Sets how long a key is held after its claim.
		 * @param newWindow the window, below the log's retention
		 * @return this builder
		 */
		public Builder window(Duration newWindow) {
			this.window = newWindow;
			return this;
		}

		/**
		 * Sets how long a claim may be dispatched.
		 * @param newFreshness the time from before the log was first read for the claim
		 * @param newMargin what is taken off for the way from the check to the dispatch
		 * @return this builder
		 */
		public Builder freshness(Duration newFreshness, Duration newMargin) {
			this.freshness = newFreshness;
			this.margin = newMargin;
			return this;
		}

		/**
		 * Sets the wall clock, which only tells work under way from an unknown outcome.
		 * @param clock epoch milliseconds
		 * @return this builder
		 */
		public Builder wallMillis(LongSupplier clock) {
			this.wallMillis = clock;
			return this;
		}

		/**
		 * Sets after which time work without a recorded outcome counts as unknown rather
		 * than under way.
		 * @param time the longest time of a call
		 * @return this builder
		 */
		public Builder longestCall(Duration time) {
			this.longestCall = time;
			return this;
		}

		/**
		 * Sets the time between two looks at the log.
		 * @param newPause the pause
		 * @return this builder
		 */
		public Builder retryPause(Duration newPause) {
			this.retryPause = newPause;
			return this;
		}

		/**
		 * Builds the table. Nothing is read before the first claim.
		 * @return the table
		 */
		public LogClaimTable build() {
			return new LogClaimTable(this);
		}

	}

}
