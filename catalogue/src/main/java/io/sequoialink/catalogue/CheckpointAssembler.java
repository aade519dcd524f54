package io.sequoialink.catalogue;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import io.sequoialink.remote.LogRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Joins the chunks of checkpoints, in any order and with repetitions. A checkpoint whose
 * digest does not match is dropped with an event. Holds at most {@link #MAX_PENDING}
 * unfinished checkpoints and drops the oldest. Not thread-safe.
 */
final class CheckpointAssembler {

	static final int MAX_PENDING = 4;

	private static final int MAX_CHUNKS = 1024;

	private static final Logger logger = LoggerFactory.getLogger(CheckpointAssembler.class);

	private final CheckpointReader reader;

	private final Map<Group, Pending> pending = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Group, Pending> eldest) {
			return size() > MAX_PENDING;
		}

	};

	CheckpointAssembler(CheckpointReader reader) {
		this.reader = reader;
	}

	/**
	 * Takes a record.
	 * @param record any record of the configuration stream
	 * @return the checkpoint that the record makes whole, if it does
	 */
	Optional<Whole> add(LogRecord record) {
		try {
			if (ConfigRecords.read(record.payload()) instanceof ConfigRecord.ChunkRecord chunk) {
				return add(record, chunk);
			}
		}
		catch (MalformedRecordException ex) {
			// The fold reports malformed records.
		}
		return Optional.empty();
	}

	private Optional<Whole> add(LogRecord record, ConfigRecord.ChunkRecord chunk) {
		if (chunk.count() > MAX_CHUNKS || chunk.covers() >= record.offset()) {
			logger.warn(CatalogueEvents.CHECKPOINT_SKIPPED, chunk.id(), "impossible size or offset");
			return Optional.empty();
		}
		Group group = new Group(chunk.id(), chunk.covers(), chunk.count(), chunk.sha256());
		Pending chunks = this.pending.computeIfAbsent(group, (key) -> new Pending(key.count()));
		if (!chunks.add(record, chunk)) {
			return Optional.empty();
		}
		this.pending.remove(group);
		return read(chunks);
	}

	private Optional<Whole> read(Pending chunks) {
		List<ConfigRecord.ChunkRecord> list = List.of(chunks.chunks);
		try {
			return Optional.of(new Whole(this.reader.read(list), chunks.oldest));
		}
		catch (MalformedRecordException ex) {
			logger.warn(CatalogueEvents.CHECKPOINT_SKIPPED, list.get(0).id(), ex.getMessage());
			return Optional.empty();
		}
	}

	/**
	 * A whole checkpoint with a matching digest. Immutable and thread-safe.
	 *
	 * @param state its state
	 * @param oldest the oldest of its chunks' records
	 */
	record Whole(FoldState state, LogRecord oldest) {

		long covers() {
			return this.state.next() - 1;
		}

	}

	private record Group(String id, long covers, int count, String sha256) {
	}

	private static final class Pending {

		private final ConfigRecord.ChunkRecord[] chunks;

		private LogRecord oldest;

		private Pending(int count) {
			this.chunks = new ConfigRecord.ChunkRecord[count];
		}

		private boolean add(LogRecord record, ConfigRecord.ChunkRecord chunk) {
			this.chunks[chunk.index()] = chunk;
			if (this.oldest == null || record.offset() < this.oldest.offset()) {
				this.oldest = record;
			}
			return Arrays.stream(this.chunks).allMatch(Objects::nonNull);
		}

	}

}
