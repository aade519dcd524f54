package io.sequoialink.remote;

import java.util.List;

/**
 * One stream of the platform's append-only log. Appends are ordered by the log alone.
 * Implementations are thread-safe; every method blocks.
 */
public interface LogStream {

	/**
	 * Appends records in one call, in order and without others between them.
	 * @param payloads the records; together at most the log's message limit
	 * @return the offset of the first record
	 * @throws LogUnavailableException if the log refused the call; nothing was appended
	 * @throws AppendUnknownException if no answer arrived; the records may have been
	 * appended
	 */
	long append(List<byte[]> payloads) throws LogUnavailableException, AppendUnknownException;

	/**
	 * Reads records in the order of their offsets.
	 * @param fromOffset the first wanted offset
	 * @param maxRecords the most records to return
	 * @return the records from that offset on; empty at the end of the stream
	 * @throws LogUnavailableException if the log did not answer
	 * @throws TrimmedException if retention has removed the first wanted record
	 */
	List<LogRecord> read(long fromOffset, int maxRecords) throws LogUnavailableException, TrimmedException;

	/**
	 * Returns what the stream holds now.
	 * @return the bounds
	 * @throws LogUnavailableException if the log did not answer
	 */
	Bounds bounds() throws LogUnavailableException;

	/**
	 * The offsets that a stream holds. Immutable and thread-safe.
	 *
	 * @param first the oldest offset that can be read
	 * @param next the offset that the next record will get
	 */
	record Bounds(long first, long next) {
	}

}
