package io.sequoialink.ledger.claims;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.sequoialink.ledger.ClaimKey;
import io.sequoialink.ledger.RecordedOutcome;
import io.sequoialink.remote.LogRecord;
import io.sequoialink.remote.LogStream;
import io.sequoialink.remote.LogUnavailableException;
import io.sequoialink.remote.TrimmedException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the stream of claims into a fold. A new reader begins one window before the end,
 * which it finds by bisection. Thread-safe: one monitor guards all state and is held
 * while the log is read.
 */
final class ClaimReader {

	private static final Logger logger = LoggerFactory.getLogger(ClaimReader.class);

	private static final int READ_BATCH = 512;

	private final LogStream stream;

	private final long windowMillis;

	private final Map<String, Optional<ClaimFold.Verdict>> awaited = new HashMap<>();

	private Optional<ClaimFold> fold = Optional.empty();

	ClaimReader(LogStream stream, long windowMillis) {
		this.stream = stream;
		this.windowMillis = windowMillis;
	}

	/**
	 * Folds the stream to its end.
	 * @throws LogUnavailableException if the log did not answer
	 */
	synchronized void poll() throws LogUnavailableException {
		if (this.fold.isEmpty()) {
			this.fold = Optional.of(new ClaimFold(this.windowMillis, windowStart()));
		}
		ClaimFold current = this.fold.get();
		try {
			List<LogRecord> records = this.stream.read(current.next(), READ_BATCH);
			while (!records.isEmpty()) {
				records.forEach((record) -> current.step(record).ifPresent(this::keep));
				records = this.stream.read(current.next(), READ_BATCH);
			}
		}
		catch (TrimmedException ex) {
			logger.warn(ClaimEvents.READER_TRIMMED, current.next(), ex.first());
			this.fold = Optional.empty();
			throw new LogUnavailableException("retention overtook the reader of claims", ex);
		}
	}

	synchronized List<ClaimFold.Standing> standing(ClaimKey key) {
		return this.fold.map((current) -> current.standing(key)).orElse(List.of());
	}

	synchronized int size() {
		return this.fold.map(ClaimFold::size).orElse(0);
	}

	synchronized void await(String claimId) {
		this.awaited.put(claimId, Optional.empty());
	}

	synchronized void forget(String claimId) {
		this.awaited.remove(claimId);
	}

	synchronized Optional<ClaimFold.Verdict> verdict(String claimId) {
		return this.awaited.getOrDefault(claimId, Optional.empty());
	}

	/**
	 * Reads a recorded outcome again.
	 * @param offset its offset
	 * @return the outcome
	 * @throws LogUnavailableException if it can't be read
	 */
	RecordedOutcome outcome(long offset) throws LogUnavailableException {
		try {
			for (LogRecord record : this.stream.read(offset, 1)) {
				if (ClaimRecord.read(record.payload()) instanceof ClaimRecord.Outcome outcome) {
					return outcome.outcome();
				}
			}
		}
		catch (TrimmedException | IOException ex) {
			throw new LogUnavailableException("the outcome at offset " + offset + " can't be read", ex);
		}
		throw new LogUnavailableException("the log has no outcome at offset " + offset);
	}

	private void keep(ClaimFold.Verdict verdict) {
		this.awaited.computeIfPresent(verdict.claimId(), (id, old) -> Optional.of(verdict));
	}

	private long windowStart() throws LogUnavailableException {
		LogStream.Bounds bounds = this.stream.bounds();
		Optional<LogRecord> last = recordAt(bounds.next() - 1, bounds);
		long low = bounds.first();
		long high = Math.max(low, bounds.next() - 1);
		long wanted = last.map(LogRecord::atMillis).orElse(0L) - 2 * this.windowMillis;
		while (low < high) {
			long middle = (low + high) >>> 1;
			if (recordAt(middle, bounds).map(LogRecord::atMillis).orElse(Long.MIN_VALUE) < wanted) {
				low = middle + 1;
			}
			else {
				high = middle;
			}
		}
		return low;
	}

	private Optional<LogRecord> recordAt(long offset, LogStream.Bounds bounds) throws LogUnavailableException {
		if (offset < bounds.first()) {
			return Optional.empty();
		}
		try {
			return this.stream.read(offset, 1).stream().findFirst();
		}
		catch (TrimmedException ex) {
			return Optional.empty();
		}
	}

}
