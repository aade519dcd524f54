package io.sequoialink.catalogue;

import java.util.List;

/**
 * Reads the state from the chunks of one checkpoint. Implementations are thread-safe.
 */
@FunctionalInterface
interface CheckpointReader {

	/**
	 * Reads the state.
	 * @param chunks all chunks in their order
	 * @return the state
	 * @throws MalformedRecordException if the chunks do not hold what they state
	 */
	FoldState read(List<ConfigRecord.ChunkRecord> chunks) throws MalformedRecordException;

}
