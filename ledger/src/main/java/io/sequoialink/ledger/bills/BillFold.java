package io.sequoialink.ledger.bills;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import io.sequoialink.model.Bill;
import io.sequoialink.model.Json;
import io.sequoialink.model.RequestId;
import io.sequoialink.remote.LogRecord;

/**
 * Reads the stream of bills and drops repetitions by request. The fold remembers the
 * requests of all bills whose answers are at most a window older than the newest one,
 * which bounds its memory. The window must be longer than the longest log outage and than
 * the time in which callers repeat a request. Not thread-safe.
 *
 * <pre>
 * BillFold fold = new BillFold(BillFold.DEFAULT_WINDOW);
 * for (LogRecord record : stream.read(from, 1000)) {
 *     fold.fold(record).counted().ifPresent(invoice::add);
 * }
 * </pre>
 */
public final class BillFold {

	/** Thrice the longest log outage that a host's memory is sized for. */
	public static final Duration DEFAULT_WINDOW = Duration.ofHours(3);

	private static final long BUCKET_MILLIS = 60_000;

	private final Set<RequestId> seen = new HashSet<>();

	private final TreeMap<Long, List<RequestId>> byTime = new TreeMap<>();

	private final long windowBuckets;

	public BillFold(Duration window) {
		if (window.toMillis() < BUCKET_MILLIS) {
			throw new IllegalArgumentException("window of " + window + " is too short: use a minute or more");
		}
		this.windowBuckets = window.toMillis() / BUCKET_MILLIS;
	}

	/**
	 * Folds the next record.
	 * @param record the record, in the order of offsets
	 * @return what it means
	 */
	public Outcome fold(LogRecord record) {
		Bill bill;
		try {
			bill = Json.mapper().readValue(record.payload(), Bill.class);
		}
		catch (IOException ex) {
			return new Outcome(Verdict.MALFORMED, Optional.empty());
		}
		if (bill == null) {
			return new Outcome(Verdict.MALFORMED, Optional.empty());
		}
		return new Outcome(judge(bill), Optional.of(bill));
	}

	/**
	 * Returns how many requests are remembered.
	 * @return a count
	 */
	public int remembered() {
		return this.seen.size();
	}

	private Verdict judge(Bill bill) {
		long bucket = Math.floorDiv(bill.atMillis(), BUCKET_MILLIS);
		if (!this.byTime.isEmpty() && bucket < this.byTime.lastKey() - this.windowBuckets) {
			return Verdict.TOO_OLD;
		}
		if (!this.seen.add(bill.request())) {
			return Verdict.REPEATED;
		}
		this.byTime.computeIfAbsent(bucket, (missing) -> new ArrayList<>()).add(bill.request());
		forgetBefore(this.byTime.lastKey() - this.windowBuckets);
		return Verdict.COUNTED;
	}

	private void forgetBefore(long bucket) {
		Map<Long, List<RequestId>> old = this.byTime.headMap(bucket);
		old.values().forEach((requests) -> requests.forEach(this.seen::remove));
		old.clear();
	}

	/** What a record means to the consumer. */
	public enum Verdict {

		/** The bill is new: count it. */
		COUNTED,

		/** The bill was counted before. */
		REPEATED,

		/**
		 * The bill is older than the window: compare it with what was counted by hand.
		 */
		TOO_OLD,

		/** The record is no bill. */
		MALFORMED

	}

	/**
	 * What a record means. Immutable and thread-safe.
	 *
	 * @param verdict the verdict
	 * @param bill the bill, unless the record is malformed
	 */
	public record Outcome(Verdict verdict, Optional<Bill> bill) {

		public Outcome {
			Objects.requireNonNull(verdict, "verdict");
			Objects.requireNonNull(bill, "bill");
		}

		/**
		 * Returns the bill if it must be counted.
		 * @return the bill, or empty
		 */
		public Optional<Bill> counted() {
			return (this.verdict == Verdict.COUNTED) ? this.bill : Optional.empty();
		}

	}

}
