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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows one keyed topic: reads the newest record of each key, then the records that
 * follow. Confined to the event loop.
 *
 * <p>
 * Invariants: a key's records are handed on in the order of their offsets, none twice; a
 * key that is gone when the history was lost is handed on as dropped; while the store
 * can't be read, what was handed on stays as it is, and the age of the last successful
 * read is known; a record whose taker fails is skipped, and the following is not held up.
 */
public final class TopicFollower {

	private static final Logger logger = LoggerFactory.getLogger(TopicFollower.class);

	/** Time after an outage in which the store is asked to wait less, in nanoseconds. */
	static final long CAUTION_NANOS = 15_000_000_000L;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private static final int MAX_DOUBLINGS = 10;

	/** Time in which datagrams of one read may overtake each other, in milliseconds. */
	static final long REORDER_MILLIS = 100;

	private static final byte[] NO_VALUE = new byte[0];

	private final KeyedTopic topic;

	private final RecordSink sink;

	private final Supplier<FollowPace> pace;

	private final LoopTimer timer;

	private final LongSupplier clock;

	private final StoreWatch watch;

	private final ReadSharing sharing;

	private final Map<String, Long> offsets = new HashMap<>();

	private final Set<String> seenInPages = new HashSet<>();

	private long next = -1;

	private long askedAt;

	private long lastRead;

	private long lostSince;

	private long backSince;

	private long cautiousUntil;

	private boolean whole;

	private int failuresInRow;

	private Runnable planned;

	private final EarlyReads early = new EarlyReads();

	private boolean forced;

	/**
	 * Creates a follower that does not read yet.
	 * @param topic the topic
	 * @param sink takes its records
	 * @param pace how often to read; asked before each call
	 * @param timer runs work later
	 * @param clock monotonic time in nanoseconds
	 * @param watch followers of the same store
	 * @param sharing lets hosts read for one another
	 */
	public TopicFollower(KeyedTopic topic, RecordSink sink, Supplier<FollowPace> pace, LoopTimer timer,
			LongSupplier clock, StoreWatch watch, ReadSharing sharing) {
		this.topic = topic;
		this.sink = sink;
		this.pace = pace;
		this.timer = timer;
		this.clock = clock;
		this.watch = watch;
		this.sharing = sharing;
		watch.join(this);
	}

	/**
	 * Begins to read.
	 */
	public void start() {
		this.lastRead = this.clock.getAsLong();
		readNewest();
	}

	/**
	 * Returns whether the topic has been read whole at least once.
	 * @return whether the view rests on the topic
	 */
	public boolean whole() {
		return this.whole;
	}

	/**
	 * Returns the age of what was last read.
	 * @return nanoseconds since the last successful call, or since the start before the
	 * first
	 */
	public long ageNanos() {
		return this.clock.getAsLong() - this.lastRead;
	}

	/**
	 * Returns how long the topic could be read without a break.
	 * @return nanoseconds, or empty while it can't be read
	 */
	public Optional<Long> steadyNanos() {
		return (this.lostSince == 0) ? Optional.of(this.clock.getAsLong() - this.backSince) : Optional.empty();
	}

	/**
	 * Returns the offset after the last record that was handed on.
	 * @return the offset
	 */
	public long next() {
		return this.next;
	}

	private void readNewest() {
		this.seenInPages.clear();
		readPage(Optional.empty(), -1);
	}

	private void readPage(Optional<String> after, long firstEnd) {
		this.askedAt = this.clock.getAsLong();
		this.topic.newest(after, (reply) -> reply.match((page) -> takePage(page, firstEnd), (failure) -> {
			failed(failure);
			retryLater(this::readNewest, failure);
		}));
	}

	private void takePage(NewestPage page, long firstEnd) {
		succeeded();
		long from = (firstEnd >= 0) ? firstEnd : page.end();
		for (KeyedRecord record : page.records()) {
			this.seenInPages.add(record.key());
			handOn(record);
		}
		if (page.after().isPresent()) {
			readPage(page.after(), from);
			return;
		}
		dropMissing(from);
		this.next = from;
		this.whole = true;
		this.sink.caughtUp(from);
		readTail();
	}

	private void dropMissing(long end) {
		Set<String> missing = new HashSet<>(this.offsets.keySet());
		missing.removeAll(this.seenInPages);
		for (String key : missing) {
			if (this.offsets.get(key) < end) {
				this.sink.take(new KeyedRecord(key, NO_VALUE, this.offsets.get(key)));
				this.offsets.remove(key);
			}
		}
	}

	private boolean handOn(KeyedRecord record) {
		Long known = this.offsets.get(record.key());
		if (known != null && known >= record.offset()) {
			return false;
		}
		if (record.dropped()) {
			this.offsets.remove(record.key());
		}
		else {
			this.offsets.put(record.key(), record.offset());
		}
		try {
			return this.sink.take(record);
		}
		catch (RuntimeException ex) {
			logger.warn(GatewayEvents.RECORD_SKIPPED, record.key(), record.offset(), this.topic.name(), ex.toString());
			return true;
		}
	}

	// Makes no call as long as another host reads and what is known is not too old.
	private void readTail() {
		long unneeded = this.pace.get().maxAgeMillis() - ageNanos() / NANOS_PER_MILLI;
		if (unneeded > 0 && !this.forced && this.lostSince == 0 && this.sharing.anotherReads()) {
			later(this::readTail, unneeded);
			return;
		}
		this.forced = false;
		callTail();
	}

	private void callTail() {
		this.askedAt = this.clock.getAsLong();
		this.topic.read(this.next, waitMillis(), (reply) -> reply.match(this::takeTail, (failure) -> {
			failed(failure);
			retryLater(this::readTail, failure);
		}));
	}

	// A topic without records may not exist yet, and a call that waits for it may not
	// hear
	// of the first one.
	private int waitMillis() {
		boolean cautious = this.next == 0
				|| (this.cautiousUntil != 0 && this.clock.getAsLong() - this.cautiousUntil < 0);
		return cautious ? this.pace.get().cautiousMillis() : this.pace.get().waitMillis();
	}

	private void takeTail(Tail tail) {
		succeeded();
		if (tail.lost() || tail.end() < this.next) {
			logger.info(GatewayEvents.HISTORY_LOST, this.topic.name(), tail.end(), this.next);
			readNewest();
			return;
		}
		List<KeyedRecord> changes = tail.records().stream().filter(this::handOn).toList();
		long from = this.next;
		this.next = Math.max(this.next, tail.next());
		this.sharing.read(new SharedRead(this.topic.name(), from, this.next, changes, true));
		boolean more = this.next < tail.end();
		if (!more) {
			this.sink.caughtUp(this.next);
		}
		later(this::readTail, more ? 0 : pauseMillis());
	}

	// The time that the call waited counts, so that calls begin at an even pace.
	private long pauseMillis() {
		long waited = (this.clock.getAsLong() - this.askedAt) / NANOS_PER_MILLI;
		return Math.max(0, this.pace.get().pauseMillis() - waited);
	}

	/**
	 * Takes what another host read. What arrives out of order is held for a moment; a
	 * stretch that stays missing, or is not whole, makes this host read itself.
	 * @param read the stretch
	 */
	public void shared(SharedRead read) {
		if (!this.whole || read.next() < this.next) {
			return;
		}
		if (!read.whole()) {
			readMissing();
			return;
		}
		if (read.from() > this.next) {
			hold(read);
			return;
		}
		for (Optional<SharedRead> next = Optional.of(read); next.isPresent(); next = this.early.following(this.next)) {
			follow(next.get());
		}
	}

	private void follow(SharedRead read) {
		this.watch.told(this.topic.name(), "followed");
		if (this.lostSince != 0) {
			back(this.clock.getAsLong());
		}
		read.changes().forEach(this::handOn);
		this.next = read.next();
		this.lastRead = this.clock.getAsLong();
		this.sink.caughtUp(this.next);
	}

	private void hold(SharedRead read) {
		if (this.early.isEmpty()) {
			this.timer.later(this::readUnlessFollowed, REORDER_MILLIS);
		}
		if (!this.early.hold(read)) {
			readMissing();
		}
	}

	private void readUnlessFollowed() {
		if (!this.early.isEmpty()) {
			readMissing();
		}
	}

	private void readMissing() {
		this.watch.told(this.topic.name(), "missed");
		this.early.clear();
		readNow();
	}

	private void succeeded() {
		this.failuresInRow = 0;
		this.watch.called(this.topic.name(), "answered");
		long now = this.clock.getAsLong();
		this.watch.answered(now);
		if (this.lostSince != 0) {
			back(now);
			this.topic.renewWaiting();
			this.watch.returned(this);
		}
		if (this.backSince == 0) {
			this.backSince = now;
		}
		this.lastRead = now;
	}

	private void back(long now) {
		logger.info(GatewayEvents.STORE_BACK, this.topic.name(), (now - this.lostSince) / NANOS_PER_MILLI, this.next);
		this.lostSince = 0;
		this.backSince = now;
		this.cautiousUntil = now + CAUTION_NANOS;
		this.sink.returned();
	}

	private void retryLater(Runnable call, StoreFailure failure) {
		later(call, (failure.kind() == StoreFailure.Kind.RENEWED) ? 0 : retryMillis());
	}

	private void later(Runnable call, long millis) {
		Runnable next = new Planned(call);
		this.planned = next;
		this.timer.later(next, millis);
	}

	private long retryMillis() {
		FollowPace now = this.pace.get();
		if (this.watch.answeredSince(this.askedAt)) {
			this.failuresInRow = 1;
		}
		int doublings = Math.min(MAX_DOUBLINGS, this.failuresInRow - 1);
		return Math.min(now.longestRetryMillis(), (long) now.retryMillis() << doublings);
	}

	/**
	 * Makes the next call at once, if none is under way.
	 */
	public void readNow() {
		if (this.planned != null) {
			this.forced = true;
			this.planned.run();
		}
	}

	private void failed(StoreFailure failure) {
		this.watch.called(this.topic.name(), failure.kind().name().toLowerCase(Locale.ROOT));
		if (failure.kind() != StoreFailure.Kind.RENEWED) {
			this.failuresInRow++;
		}
		if (this.lostSince == 0 && failure.kind() != StoreFailure.Kind.RENEWED) {
			this.lostSince = this.clock.getAsLong();
			logger.warn(GatewayEvents.STORE_LOST, this.topic.name(), ageNanos() / NANOS_PER_MILLI, failure.detail());
		}
	}

	/**
	 * A call to be made later; made once at most, and not after a later one was planned.
	 */
	private final class Planned implements Runnable {

		private final Runnable call;

		private Planned(Runnable call) {
			this.call = call;
		}

		@Override
		public void run() {
			if (TopicFollower.this.planned == this) {
				TopicFollower.this.planned = null;
				this.call.run();
			}
		}

	}

}
