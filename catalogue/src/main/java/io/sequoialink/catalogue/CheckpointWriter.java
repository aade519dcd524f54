package io.sequoialink.catalogue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import io.sequoialink.remote.AppendUnknownException;
import io.sequoialink.remote.LogStream;
import io.sequoialink.remote.LogUnavailableException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Appends checkpoints well before retention would cut the history that a rebuild needs. A
 * chunk whose answer was lost is left as it is: the readers see whether the checkpoint is
 * whole, and the next call writes another one if not. Thread-safe.
 */
final class CheckpointWriter {

	private static final Logger logger = LoggerFactory.getLogger(CheckpointWriter.class);

	private final LogStream stream;

	private final BooleanSupplier writer;

	private final LongSupplier wallMillis;

	private final int maxChanges;

	private final Duration maxAge;

	CheckpointWriter(LogStream stream, BooleanSupplier writer, LongSupplier wallMillis, int maxChanges,
			Duration maxAge) {
		this.stream = stream;
		this.writer = writer;
		this.wallMillis = wallMillis;
		this.maxChanges = maxChanges;
		this.maxAge = maxAge;
	}

	synchronized boolean writeIfDue(FoldState state, Backlog backlog) {
		if (!due(state, backlog) || !this.writer.getAsBoolean()) {
			return false;
		}
		try {
			write(state);
			return true;
		}
		catch (LogUnavailableException | AppendUnknownException ex) {
			logger.warn(CatalogueEvents.CHECKPOINT_NOT_WRITTEN, ex.getMessage());
			return false;
		}
	}

	private boolean due(FoldState state, Backlog backlog) {
		if (state.next() == 0) {
			return false;
		}
		long age = this.wallMillis.getAsLong() - backlog.oldestMillis().orElse(state.logMillis());
		return backlog.changes() >= this.maxChanges || age >= this.maxAge.toMillis();
	}

	private void write(FoldState state) throws LogUnavailableException, AppendUnknownException {
		List<ConfigRecord.ChunkRecord> chunks = Checkpoint.write(state);
		int bytes = 0;
		for (ConfigRecord.ChunkRecord chunk : chunks) {
			byte[] payload = ConfigRecords.write(chunk);
			this.stream.append(List.of(payload));
			bytes += payload.length;
		}
		logger.info(CatalogueEvents.CHECKPOINT_WRITTEN, chunks.get(0).id(), state.next() - 1, bytes, chunks.size());
	}

	/**
	 * What a rebuild from the newest whole checkpoint has to fold. Immutable and
	 * thread-safe.
	 *
	 * @param changes the number of changes
	 * @param oldestMillis when the log took the oldest needed record
	 */
	record Backlog(int changes, Optional<Long> oldestMillis) {
	}

}
