package io.sequoialink.catalogue;

import java.util.Objects;

/**
 * A record of the configuration stream. Implementations are immutable and thread-safe.
 */
sealed interface ConfigRecord {

	/**
	 * A change to one object.
	 *
	 * @param change the change
	 */
	record ChangeRecord(Change change) implements ConfigRecord {

		public ChangeRecord {
			Objects.requireNonNull(change, "change");
		}

	}

	/**
	 * One chunk of a checkpoint. All chunks of one checkpoint share its id, the offset
	 * that it covers, its number of chunks and the digest of the whole.
	 *
	 * @param id names the checkpoint
	 * @param covers offset of the last record that the state folds, -1 for none
	 * @param index index of this chunk
	 * @param count number of chunks
	 * @param sha256 lower-case hexadecimal SHA-256 of the whole checkpoint
	 * @param data this chunk's bytes
	 */
	record ChunkRecord(String id, long covers, int index, int count, String sha256,
			byte[] data) implements ConfigRecord {

		public ChunkRecord {
			Objects.requireNonNull(id, "id");
			Objects.requireNonNull(sha256, "sha256");
			Objects.requireNonNull(data, "data");
			if (covers < -1 || count < 1 || index < 0 || index >= count) {
				throw new IllegalArgumentException("chunk " + index + " of " + count + " covering " + covers);
			}
		}

	}

}
