package io.sequoialink.ledger.bills;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;

import com.google.protobuf.InvalidProtocolBufferException;
import io.sequoialink.ledger.BillJournal;
import io.sequoialink.model.Bill;
import io.sequoialink.model.HostId;
import io.sequoialink.model.Json;
import io.sequoialink.remote.AppendUnknownException;
import io.sequoialink.remote.LogStream;
import io.sequoialink.remote.LogUnavailableException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Copies each bill to a peer at once and appends bills in batches, so seldom that the
 * whole fleet keeps its budget of appends. A peer appends the copies that it holds of a
 * host that was given up. Thread-safe. Lock order: {@code appending} before {@code lock};
 * neither peers nor the log are called under {@code lock}.
 */
public final class LogBillJournal implements BillJournal {

	private static final long TICK_MILLIS = 50;

	private static final long MAX_BACKOFF_MILLIS = 5000;

	private static final Logger LOG = LoggerFactory.getLogger(LogBillJournal.class);

	private final ReentrantLock appending = new ReentrantLock();

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition changed = this.lock.newCondition();

	private final LogStream stream;

	private final BillPeers peers;

	private final BillSettings settings;

	private final LongSupplier nanos;

	private final BillBook book;

	private long nextAppendMillis;

	private long backoffMillis;

	private boolean accepting = true;

	/**
	 * Creates a journal; {@link #start} runs it.
	 * @param stream the stream of bills
	 * @param peers the other hosts
	 * @param settings bounds and intervals
	 * @param nanos a monotonic clock, nanoseconds
	 */
	public LogBillJournal(LogStream stream, BillPeers peers, BillSettings settings, LongSupplier nanos) {
		this.stream = Objects.requireNonNull(stream, "stream");
		this.peers = Objects.requireNonNull(peers, "peers");
		this.settings = Objects.requireNonNull(settings, "settings");
		this.nanos = Objects.requireNonNull(nanos, "nanos");
		this.book = new BillBook(peers.self(), settings);
	}

	/**
	 * Runs the journal until the executor is shut down.
	 * @param executor runs the appends, which block, and the copies; of two threads or
	 * more
	 */
	public void start(ScheduledExecutorService executor) {
		executor.scheduleWithFixedDelay(this::appendIfDue, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
		executor.scheduleWithFixedDelay(this::sendCopies, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
	}

	@Override
	public Safety record(Bill bill, Duration patience) {
		byte[] payload = Json.write(bill).getBytes(StandardCharsets.UTF_8);
		this.lock.lock();
		long number;
		try {
			number = this.book.add(payload);
		}
		finally {
			this.lock.unlock();
		}
		sendCopies();
		return awaitSafety(number, patience.toNanos());
	}

	@Override
	public boolean accepting() {
		this.lock.lock();
		try {
			boolean now = this.book.accepting();
			if (this.accepting && !now) {
				LOG.error(BillEvents.BOUND_REACHED, this.book.ownCount());
			}
			this.accepting = now;
			return now;
		}
		finally {
			this.lock.unlock();
		}
	}

	@Override
	public int flush(Duration patience) {
		long end = this.nanos.getAsLong() + patience.toNanos();
		boolean appended = true;
		while (appended && held() > 0 && this.nanos.getAsLong() < end) {
			appended = append();
		}
		this.lock.lock();
		try {
			return this.book.localCount();
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Takes a message of a peer in. Does not block for long; may be called on a network
	 * thread.
	 * @param sender the peer
	 * @param message the message
	 */
	public void receive(HostId sender, byte[] message) {
		Optional<BillBook.Message> answer;
		this.lock.lock();
		try {
			answer = this.book.receive(sender, message);
			this.changed.signalAll();
		}
		catch (InvalidProtocolBufferException ex) {
			LOG.warn(BillEvents.MALFORMED, sender);
			return;
		}
		finally {
			this.lock.unlock();
		}
		answer.ifPresent(this::send);
	}

	/**
	 * Returns how many bills and copies this host holds.
	 * @return own bills that the log lacks, and copies held for others
	 */
	public int held() {
		this.lock.lock();
		try {
			return this.book.ownCount() + this.book.copyCount();
		}
		finally {
			this.lock.unlock();
		}
	}

	/** Sends the copies that are due. */
	void sendCopies() {
		List<BillPeers.Process> holders = this.peers.holders();
		Optional<BillBook.Message> offer;
		this.lock.lock();
		try {
			offer = this.book.offer(holders, nowMillis());
		}
		finally {
			this.lock.unlock();
		}
		offer.ifPresent(this::send);
	}

	/** Appends what is held if the fleet's budget allows it now. */
	void appendIfDue() {
		this.appending.lock();
		try {
			if (nowMillis() >= this.nextAppendMillis) {
				append();
				long interval = this.settings.appendIntervalMillis(this.peers.fleetSize());
				this.nextAppendMillis = nowMillis() + Math.max(interval, this.backoffMillis);
			}
		}
		finally {
			this.appending.unlock();
		}
	}

	private boolean append() {
		this.appending.lock();
		try {
			BillBook.Batch batch = nextBatch();
			if (batch.payloads().isEmpty()) {
				return false;
			}
			this.stream.append(batch.payloads());
			logged(batch);
			return true;
		}
		catch (LogUnavailableException ex) {
			if (this.backoffMillis == 0) {
				LOG.warn(BillEvents.LOG_DOWN, this.book.ownCount(), this.book.copyCount(), ex.getMessage());
			}
			this.backoffMillis = Math.min(MAX_BACKOFF_MILLIS,
					Math.max(this.settings.minAppendInterval().toMillis(), this.backoffMillis * 2));
			return false;
		}
		catch (AppendUnknownException ex) {
			LOG.info(BillEvents.APPEND_UNKNOWN, this.book.ownCount());
			return false;
		}
		finally {
			this.appending.unlock();
		}
	}

	private BillBook.Batch nextBatch() {
		this.lock.lock();
		try {
			return this.book.nextBatch(this.peers::present);
		}
		finally {
			this.lock.unlock();
		}
	}

	private void logged(BillBook.Batch batch) {
		if (this.backoffMillis > 0) {
			this.backoffMillis = 0;
			LOG.info(BillEvents.LOG_BACK);
		}
		if (batch.hasOrphans(this.peers.self())) {
			LOG.info(BillEvents.ORPHANS_APPENDED, batch.payloads().size());
		}
		List<BillBook.Message> releases;
		this.lock.lock();
		try {
			releases = this.book.logged(batch);
			this.changed.signalAll();
		}
		finally {
			this.lock.unlock();
		}
		releases.forEach(this::send);
	}

	private Safety awaitSafety(long number, long patienceNanos) {
		this.lock.lock();
		try {
			long left = patienceNanos;
			while (this.book.safety(number) == Safety.LOCAL && left > 0) {
				left = this.changed.awaitNanos(left);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		try {
			return this.book.safety(number);
		}
		finally {
			this.lock.unlock();
		}
	}

	private void send(BillBook.Message message) {
		this.peers.send(message.receiver(), message.body().toByteArray());
	}

	private long nowMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.nanos.getAsLong());
	}

}
