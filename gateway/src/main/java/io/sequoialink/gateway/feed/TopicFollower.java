package io.sequoialink.gateway.feed;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.fleet.StorePosition;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows one compacted topic: reads the newest record of each key, then polls for the
 * records that follow. Confined to the event loop.
 *
 * <p>
 * Invariants: the records of a key are delivered in the order of their positions and at
 * most once; an offset is used only in the era in which it was given, and once the store
 * has returned from an older copy all records are read again; a key that no longer exists
 * after the history was lost is delivered as deleted; while the store cannot be read,
 * delivered state is kept and the age of the last successful read is known; a record on
 * which the sink fails is skipped and does not hold up those that follow.
 */
public final class TopicFollower {

	private static final Logger logger = LoggerFactory.getLogger(TopicFollower.class);

	/**
	 * Time after an outage in which the store is given the shorter poll timeout, in
	 * nanoseconds.
	 */
	static final long SHORT_POLL_NANOS = 15_000_000_000L;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private static final int MAX_DOUBLINGS = 10;

	/**
	 * Time within which datagrams of one forwarded read may arrive out of order, in
	 * milliseconds.
	 */
	static final long REORDER_MILLIS = 100;

	private static final byte[] NO_VALUE = new byte[0];

	private final KeyedTopic topic;

	private final RecordSink sink;

	private final Supplier<PollingSettings> settings;

	private final EventLoopTimer timer;

	private final LongSupplier clock;

	private final StoreAvailability availability;

	private final ReadForwarding forwarding;

	/** Position of all records that were read in an earlier era. */
	private static final StorePosition EARLIER_ERA = new StorePosition(StorePosition.NO_ERA, -1);

	/**
	 * Time after which a call that is under way is repeated if another host has meanwhile
	 * read records which this one lacks, in milliseconds. A call to a store that is well
	 * returns at once then; one that was sent in an outage may never return.
	 */
	static final long OVERTAKEN_CALL_MILLIS = 500;

	/**
	 * Times after a return of the store at which the newest records are read again, in
	 * milliseconds: when what is alive has written again, and once more after some of its
	 * usual writes. What a host remembers from before the return may differ from what the
	 * host remembers that reads for it, so a record that changes nothing there may change
	 * something here.
	 */
	static final List<Long> READ_AGAIN_MILLIS = List.of(2500L, 6000L);

	private final Map<String, StorePosition> positions = new HashMap<>();

	private final Set<String> snapshotKeys = new HashSet<>();

	private long nextOffset = -1;

	private long era = StorePosition.NO_ERA;

	private long newestEraHeard = StorePosition.NO_ERA;

	private long nextOffsetAtSnapshot = -1;

	private ReadPath snapshotPath = ReadPath.SNAPSHOT;

	private boolean snapshotDue;

	private long callStartedAt;

	private long lastReadAt;

	private long outageSince;

	private long availableSince;

	private long shortPollUntil;

	private boolean initialized;

	private int consecutiveFailures;

	private Runnable scheduled;

	private final OutOfOrderBatches outOfOrder = new OutOfOrderBatches();

	private boolean pollForced;

	private boolean callRenewed;

	/**
	 * Creates a follower that does not read yet.
	 * @param topic the topic
	 * @param sink receives the records
	 * @param settings how often to poll; queried before each call
	 * @param timer schedules calls
	 * @param clock monotonic time in nanoseconds
	 * @param availability notifies all followers of the same store when it is available
	 * again
	 * @param forwarding forwards reads between hosts
	 */
	public TopicFollower(KeyedTopic topic, RecordSink sink, Supplier<PollingSettings> settings, EventLoopTimer timer,
			LongSupplier clock, StoreAvailability availability, ReadForwarding forwarding) {
		this.topic = topic;
		this.sink = sink;
		this.settings = settings;
		this.timer = timer;
		this.clock = clock;
		this.availability = availability;
		this.forwarding = forwarding;
		availability.register(this);
	}

	/**
	 * Starts reading.
	 */
	public void start() {
		this.lastReadAt = this.clock.getAsLong();
		readSnapshot();
	}

	/**
	 * Returns whether the topic has been read completely at least once.
	 * @return whether all records of the topic have been delivered
	 */
	public boolean initialized() {
		return this.initialized;
	}

	/**
	 * Returns the time since the last successful read.
	 * @return nanoseconds since the last successful call or forwarded batch; before the
	 * first one, since the start
	 */
	public long ageNanos() {
		return this.clock.getAsLong() - this.lastReadAt;
	}

	/**
	 * Returns how long the topic has been readable without interruption.
	 * @return nanoseconds, empty during an outage
	 */
	public Optional<Long> availableNanos() {
		return (this.outageSince == 0) ? Optional.of(this.clock.getAsLong() - this.availableSince) : Optional.empty();
	}

	/**
	 * Returns the offset after the last record that was delivered.
	 * @return the offset
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	private void readSnapshot() {
		this.snapshotKeys.clear();
		this.nextOffsetAtSnapshot = this.nextOffset;
		readPage(Optional.empty(), -1);
	}

	private void readPage(Optional<String> after, long firstEnd) {
		this.callStartedAt = this.clock.getAsLong();
		this.topic.readSnapshot(after, (reply) -> reply.match((page) -> processPage(page, firstEnd), (failure) -> {
			recordFailure(failure);
			retryLater(this::readSnapshot, failure);
		}));
	}

	private void processPage(SnapshotPage page, long firstEnd) {
		recordSuccess();
		boolean firstPage = firstEnd < 0;
		if (!firstPage && this.topic.era() != this.era) {
			readSnapshot();
			return;
		}
		if (firstPage) {
			enterEra(page.end());
		}
		long from = firstPage ? page.end() : firstEnd;
		for (KeyedRecord record : page.records()) {
			this.snapshotKeys.add(record.key());
			deliver(record, this.snapshotPath);
		}
		if (page.continueAfter().isPresent()) {
			readPage(page.continueAfter(), from);
			return;
		}
		deleteMissing(from);
		this.nextOffset = Math.max(this.nextOffset, from);
		this.snapshotPath = ReadPath.SNAPSHOT;
		this.initialized = true;
		this.sink.caughtUp(from);
		pollUnlessForwarded();
	}

	// A topic that ends before the offset read so far shows a return also if the store
	// names no era.
	private void enterEra(long end) {
		boolean returned = this.topic.era() != this.era || end < this.nextOffsetAtSnapshot;
		this.era = this.topic.era();
		if (!returned || this.nextOffsetAtSnapshot < 0 && this.positions.isEmpty()) {
			return;
		}
		logger.warn(GatewayEvents.TOPIC_RETURNED, this.topic.name(), this.era, this.nextOffsetAtSnapshot, end,
				this.positions.size());
		this.snapshotPath = ReadPath.RETURNED_COPY;
		this.nextOffset = end;
		this.positions.replaceAll((key, position) -> EARLIER_ERA);
		this.outOfOrder.clear();
		READ_AGAIN_MILLIS.forEach((millis) -> this.timer.schedule(this::readSnapshotNext, millis));
		this.sink.storeReturned();
	}

	private void readSnapshotNext() {
		this.snapshotDue = true;
		if (this.scheduled != null) {
			this.scheduled.run();
		}
	}

	private void deleteMissing(long end) {
		StorePosition endPosition = new StorePosition(this.era, end);
		Set<String> missing = new HashSet<>(this.positions.keySet());
		missing.removeAll(this.snapshotKeys);
		for (String key : missing) {
			StorePosition known = this.positions.get(key);
			if (known.compareTo(endPosition) < 0) {
				this.positions.remove(key);
				pass(new KeyedRecord(key, NO_VALUE, known), this.snapshotPath);
			}
		}
	}

	// Returns whether the record may change the state of a host that has read the
	// topic up to its offset. What this host had read before, from a page of newest
	// records written after the end which the page names, may be news to others.
	private boolean deliver(KeyedRecord record, ReadPath path) {
		StorePosition known = this.positions.get(record.key());
		if (known != null && known.compareTo(record.position()) >= 0) {
			return true;
		}
		if (record.deleted()) {
			this.positions.remove(record.key());
		}
		else {
			this.positions.put(record.key(), record.position());
		}
		return pass(record, path);
	}

	private boolean pass(KeyedRecord record, ReadPath path) {
		try {
			return this.sink.accept(record, path);
		}
		catch (RuntimeException | StackOverflowError ex) {
			logger.warn(GatewayEvents.RECORD_SKIPPED, record.key(), record.offset(), this.topic.name(), ex.toString());
			return true;
		}
	}

	// Does not call the store while another host forwards its reads and the last read is
	// recent enough.
	private void pollUnlessForwarded() {
		long waitMillis = this.settings.get().maxAgeMillis() - ageNanos() / NANOS_PER_MILLI;
		boolean due = this.pollForced || this.snapshotDue || this.outageSince != 0;
		if (waitMillis > 0 && !due && this.forwarding.anotherHostReads()) {
			schedule(this::pollUnlessForwarded, waitMillis);
			return;
		}
		poll();
	}

	private void poll() {
		if (this.topic.era() != this.era || this.snapshotDue) {
			this.snapshotDue = false;
			readSnapshot();
			return;
		}
		this.callStartedAt = this.clock.getAsLong();
		this.topic.poll(this.nextOffset, pollTimeoutMillis(), (reply) -> reply.match(this::processPoll, (failure) -> {
			recordFailure(failure);
			retryLater(this::pollUnlessForwarded, failure);
		}));
	}

	// An empty topic may not exist yet, and a waiting call may then not return its first
	// record; the shorter poll timeout limits the delay.
	private int pollTimeoutMillis() {
		boolean shortPoll = this.nextOffset == 0
				|| (this.shortPollUntil != 0 && this.clock.getAsLong() - this.shortPollUntil < 0);
		return shortPoll ? this.settings.get().shortPollTimeoutMillis() : this.settings.get().pollTimeoutMillis();
	}

	private void processPoll(PollResult tail) {
		this.pollForced = false;
		recordSuccess();
		if (this.topic.era() != this.era) {
			readSnapshot();
			return;
		}
		if (tail.historyLost() || tail.end() < this.nextOffset) {
			logger.info(GatewayEvents.LOG_TRUNCATED, this.topic.name(), tail.end(), this.nextOffset);
			readSnapshot();
			return;
		}
		List<KeyedRecord> changedRecords = tail.records()
			.stream()
			.filter((record) -> deliver(record, ReadPath.POLL))
			.toList();
		long from = this.nextOffset;
		this.nextOffset = Math.max(this.nextOffset, tail.next());
		this.forwarding
			.forward(new ForwardedBatch(this.topic.name(), this.era, from, this.nextOffset, changedRecords, true));
		boolean more = this.nextOffset < tail.end();
		if (!more) {
			this.sink.caughtUp(this.nextOffset);
		}
		schedule(this::pollUnlessForwarded, more ? 0 : remainingIntervalMillis());
	}

	// The time that the store held the call is subtracted, so that calls start at regular
	// intervals.
	private long remainingIntervalMillis() {
		long elapsedMillis = (this.clock.getAsLong() - this.callStartedAt) / NANOS_PER_MILLI;
		return Math.max(0, this.settings.get().minIntervalMillis() - elapsedMillis);
	}

	/**
	 * Applies a batch that another host has read and forwarded. A batch that arrives out
	 * of order is buffered for a short time. If the missing range does not arrive, or the
	 * batch is incomplete, this host reads the store itself, and also if the batch is of
	 * a later era. One of an earlier era is ignored.
	 * @param batch the batch
	 */
	public void forwarded(ForwardedBatch batch) {
		if (this.initialized && batch.era() > this.era) {
			readLaterEra(batch.era());
			return;
		}
		if (!this.initialized || batch.era() < this.era || batch.next() < this.nextOffset) {
			return;
		}
		if (!batch.complete()) {
			pollMissing(batch.next());
			return;
		}
		if (batch.from() > this.nextOffset) {
			buffer(batch);
			return;
		}
		for (Optional<ForwardedBatch> next = Optional.of(batch); next
			.isPresent(); next = this.outOfOrder.takeNext(this.nextOffset)) {
			apply(next.get());
		}
	}

	private void readLaterEra(long heard) {
		if (heard > this.newestEraHeard) {
			this.newestEraHeard = heard;
			this.availability.countForwarded(this.topic.name(), "later_era");
			this.topic.abortWaitingCalls();
			pollNow();
		}
	}

	private void apply(ForwardedBatch batch) {
		this.availability.countForwarded(this.topic.name(), "followed");
		if (this.outageSince != 0) {
			recordRecovery(this.clock.getAsLong());
			this.topic.abortWaitingCalls();
		}
		batch.changedRecords().forEach((record) -> deliver(record, ReadPath.FORWARDED));
		this.nextOffset = batch.next();
		this.lastReadAt = this.clock.getAsLong();
		this.sink.caughtUp(this.nextOffset);
	}

	private void buffer(ForwardedBatch batch) {
		if (this.outOfOrder.isEmpty()) {
			this.timer.schedule(this::pollIfGapRemains, REORDER_MILLIS);
		}
		if (!this.outOfOrder.add(batch)) {
			pollMissing(batch.next());
		}
	}

	private void pollIfGapRemains() {
		if (!this.outOfOrder.isEmpty()) {
			pollMissing(this.outOfOrder.end());
		}
	}

	private void pollMissing(long end) {
		this.availability.countForwarded(this.topic.name(), "missed");
		this.outOfOrder.clear();
		if (this.scheduled == null) {
			long overtakenCall = this.callStartedAt;
			this.timer.schedule(() -> renewOvertakenCall(overtakenCall, end), OVERTAKEN_CALL_MILLIS);
		}
		pollNow();
	}

	// Once until a call succeeds: of a store that is merely slow, no call would return.
	private void renewOvertakenCall(long startedAt, long end) {
		boolean stillWaits = this.scheduled == null && this.callStartedAt == startedAt && this.nextOffset < end;
		if (stillWaits && !this.callRenewed) {
			this.callRenewed = true;
			logger.info(GatewayEvents.CALL_RENEWED, this.topic.name(),
					(this.clock.getAsLong() - startedAt) / NANOS_PER_MILLI, end, this.nextOffset);
			this.topic.abortWaitingCalls();
		}
	}

	private void recordSuccess() {
		this.callRenewed = false;
		this.consecutiveFailures = 0;
		this.availability.countCall(this.topic.name(), "answered");
		long now = this.clock.getAsLong();
		this.availability.responded(now);
		if (this.outageSince != 0) {
			recordRecovery(now);
			this.topic.abortWaitingCalls();
			this.availability.recovered(this);
		}
		if (this.availableSince == 0) {
			this.availableSince = now;
		}
		this.lastReadAt = now;
	}

	private void recordRecovery(long now) {
		logger.info(GatewayEvents.STORE_READABLE, this.topic.name(), (now - this.outageSince) / NANOS_PER_MILLI,
				this.nextOffset);
		this.outageSince = 0;
		this.availableSince = now;
		this.shortPollUntil = now + SHORT_POLL_NANOS;
		this.sink.storeRecovered();
	}

	private void retryLater(Runnable call, StoreFailure failure) {
		schedule(call, (failure.kind() == StoreFailure.Kind.RENEWED) ? 0 : retryDelayMillis());
	}

	private void schedule(Runnable call, long millis) {
		Runnable next = new ScheduledCall(call);
		this.scheduled = next;
		this.timer.schedule(next, millis);
	}

	private long retryDelayMillis() {
		PollingSettings now = this.settings.get();
		if (this.availability.respondedSince(this.callStartedAt)) {
			this.consecutiveFailures = 1;
		}
		int doublings = Math.min(MAX_DOUBLINGS, this.consecutiveFailures - 1);
		return Math.min(now.maxRetryMillis(), (long) now.firstRetryMillis() << doublings);
	}

	/**
	 * Polls at once. If a call is in progress that fails, polls again after it although
	 * another host may read for this one.
	 */
	public void pollNow() {
		this.pollForced = true;
		if (this.scheduled != null) {
			this.scheduled.run();
		}
	}

	private void recordFailure(StoreFailure failure) {
		this.availability.countCall(this.topic.name(), failure.kind().name().toLowerCase(Locale.ROOT));
		if (failure.kind() != StoreFailure.Kind.RENEWED) {
			this.consecutiveFailures++;
		}
		if (this.outageSince == 0 && failure.kind() != StoreFailure.Kind.RENEWED) {
			this.outageSince = this.clock.getAsLong();
			logger.warn(GatewayEvents.STORE_UNREADABLE, this.topic.name(), ageNanos() / NANOS_PER_MILLI,
					failure.detail());
		}
	}

	/**
	 * A scheduled call. It runs at most once, and not at all if another call was
	 * scheduled after it.
	 */
	private final class ScheduledCall implements Runnable {

		private final Runnable call;

		private ScheduledCall(Runnable call) {
			this.call = call;
		}

		@Override
		public void run() {
			if (TopicFollower.this.scheduled == this) {
				TopicFollower.this.scheduled = null;
				this.call.run();
			}
		}

	}

}
