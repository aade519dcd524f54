package io.sequoialink.catalogue;

import java.util.List;
import java.util.Optional;

import io.sequoialink.remote.LogRecord;
import io.sequoialink.remote.LogStream;
import io.sequoialink.remote.LogUnavailableException;
import io.sequoialink.remote.TrimmedException;

/**
 * Finds the newest whole checkpoint of a stream by reading it backwards in windows.
 * Stateless and thread-safe.
 */
final class CheckpointFinder {

	/** The records that are read in one step backwards. */
	static final int WINDOW_RECORDS = 256;

	private CheckpointFinder() {
	}

	/**
	 * Returns the newest whole checkpoint whose tail can still be read.
	 * @param stream the configuration stream
	 * @param reader reads the checkpoints
	 * @return the checkpoint, or empty if the stream holds none
	 * @throws LogUnavailableException if the log did not answer
	 */
	static Optional<CheckpointAssembler.Whole> newest(LogStream stream, CheckpointReader reader)
			throws LogUnavailableException {
		LogStream.Bounds bounds = stream.bounds();
		CheckpointAssembler assembler = new CheckpointAssembler(reader);
		long high = bounds.next();
		while (high > bounds.first()) {
			long low = Math.max(bounds.first(), high - WINDOW_RECORDS);
			Optional<CheckpointAssembler.Whole> found = scan(stream, low, high, assembler)
				.filter((whole) -> whole.covers() + 1 >= bounds.first());
			if (found.isPresent()) {
				return found;
			}
			high = low;
		}
		return Optional.empty();
	}

	private static Optional<CheckpointAssembler.Whole> scan(LogStream stream, long low, long high,
			CheckpointAssembler assembler) throws LogUnavailableException {
		Optional<CheckpointAssembler.Whole> newest = Optional.empty();
		long next = low;
		while (next < high) {
			List<LogRecord> records = readFrom(stream, next, high);
			if (records.isEmpty()) {
				return newest;
			}
			for (LogRecord record : records) {
				Optional<CheckpointAssembler.Whole> whole = assembler.add(record);
				if (whole.isPresent()
						&& newest.map(CheckpointAssembler.Whole::covers).orElse(-2L) < whole.get().covers()) {
					newest = whole;
				}
			}
			next = records.get(records.size() - 1).offset() + 1;
		}
		return newest;
	}

	private static List<LogRecord> readFrom(LogStream stream, long next, long high) throws LogUnavailableException {
		try {
			return stream.read(next, (int) (high - next));
		}
		catch (TrimmedException ex) {
			return (ex.first() < high) ? readFrom(stream, ex.first(), high) : List.of();
		}
	}

}
