package io.sequoialink.catalogue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

import io.sequoialink.remote.AppendUnknownException;
import io.sequoialink.remote.LogStream;
import io.sequoialink.remote.LogUnavailableException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Appends a change and waits for its verdict. After a lost answer the log is read for the
 * change's id, and the same change is appended again if it is not there: whichever copy
 * the log took first decides, later ones are duplicates. Thread-safe.
 */
final class ChangePublisher {

	private static final Logger logger = LoggerFactory.getLogger(ChangePublisher.class);

	private static final long NOT_APPENDED = -1;

	private final LogStream stream;

	private final FoldTable table;

	private final Poll poll;

	private final Timing timing;

	ChangePublisher(LogStream stream, FoldTable table, Poll poll, Timing timing) {
		this.stream = stream;
		this.table = table;
		this.poll = poll;
		this.timing = timing;
	}

	Verdict publish(Change change) throws LogUnavailableException {
		byte[] payload = ConfigRecords.write(change);
		if (payload.length > ConfigRecords.MAX_RECORD_BYTES) {
			return rejected(change, "the change has " + payload.length + " bytes; at most "
					+ ConfigRecords.MAX_RECORD_BYTES + " are accepted");
		}
		this.poll.run();
		Verdict preview = CatalogueFold.preview(this.table.state(), change);
		if (preview.kind() == Verdict.Kind.INVALID || preview.kind() == Verdict.Kind.DUPLICATE) {
			return preview;
		}
		this.table.await(change.id());
		try {
			return appendAndSettle(change, payload);
		}
		finally {
			this.table.forget(change.id());
		}
	}

	private Verdict appendAndSettle(Change change, byte[] payload) throws LogUnavailableException {
		long deadline = this.timing.nanos().getAsLong() + this.timing.timeout().toNanos();
		long offset = firstAppend(change, payload);
		while (true) {
			Optional<Verdict> verdict = readVerdict(change);
			if (verdict.isPresent()) {
				return own(change, verdict.get());
			}
			if (this.timing.nanos().getAsLong() - deadline >= 0) {
				throw new LogUnavailableException("the fate of change " + change.id()
						+ " is not known: it may still take effect; look for its id or publish it again with that id");
			}
			if (offset == NOT_APPENDED) {
				offset = appendAgain(payload);
			}
			pause();
		}
	}

	private long firstAppend(Change change, byte[] payload) throws LogUnavailableException {
		try {
			return this.stream.append(List.of(payload));
		}
		catch (LogUnavailableException ex) {
			throw new LogUnavailableException("change " + change.id() + " was not appended: " + ex.getMessage(), ex);
		}
		catch (AppendUnknownException ex) {
			logger.warn(CatalogueEvents.APPEND_UNSETTLED, change.id());
			return NOT_APPENDED;
		}
	}

	private long appendAgain(byte[] payload) {
		try {
			return this.stream.append(List.of(payload));
		}
		catch (LogUnavailableException | AppendUnknownException ex) {
			return NOT_APPENDED;
		}
	}

	private Optional<Verdict> readVerdict(Change change) {
		try {
			this.poll.run();
		}
		catch (LogUnavailableException ex) {
			// Peers may have delivered the record; the deadline bounds the wait.
		}
		return this.table.verdict(change);
	}

	// The id may have been taken by another change that the log put first.
	private static Verdict own(Change change, Verdict verdict) {
		if (verdict.change().equals(change)) {
			return verdict;
		}
		return new Verdict(change, verdict.offset(), Verdict.Kind.DUPLICATE, verdict.current(),
				"another change with this id was folded at offset " + verdict.offset());
	}

	private static Verdict rejected(Change change, String explanation) {
		return new Verdict(change, NOT_APPENDED, Verdict.Kind.INVALID, Optional.empty(), explanation);
	}

	private void pause() throws LogUnavailableException {
		try {
			this.timing.sleeper().sleep(this.timing.pause().toNanos());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new LogUnavailableException("interrupted; the fate of the change is not known", ex);
		}
	}

	/**
	 * Reads the log to its end.
	 */
	@FunctionalInterface
	interface Poll {

		void run() throws LogUnavailableException;

	}

	/**
	 * Clock and times of the publisher. Immutable.
	 *
	 * @param nanos monotonic clock
	 * @param sleeper waits between two looks
	 * @param timeout longest time until a change is settled
	 * @param pause time between two looks
	 */
	record Timing(LongSupplier nanos, Sleeper sleeper, Duration timeout, Duration pause) {
	}

}
