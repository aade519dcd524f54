package io.sequoialink.catalogue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.sequoialink.remote.LogRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The fold state of one host with what is kept beside it: the record tail, the newest
 * verdicts and the verdicts that are waited for. The state only moves forward.
 * Thread-safe; its monitor is the innermost lock and is held for work in memory only.
 */
final class FoldTable {

	private static final Logger logger = LoggerFactory.getLogger(FoldTable.class);

	private static final int HISTORY = 1024;

	private static final int MAX_PEER_RECORDS = 4096;

	private final CheckpointReader reader;

	private final RecordTail tail;

	private final Deque<Verdict> history = new ArrayDeque<>();

	private final Map<String, Optional<Verdict>> awaited = new HashMap<>();

	private final List<LogRecord> peerRecords = new ArrayList<>();

	private volatile FoldState state = FoldState.empty();

	private volatile Optional<Long> confirmedNanos = Optional.empty();

	FoldTable(CheckpointReader reader) {
		this.reader = reader;
		this.tail = new RecordTail(reader);
	}

	FoldState state() {
		return this.state;
	}

	Optional<Long> confirmedNanos() {
		return this.confirmedNanos;
	}

	/**
	 * Notes that the view was the newest at some time.
	 * @param next the offset that ended the log at that time
	 * @param atNanos the time by this host's monotonic clock
	 */
	synchronized void confirm(long next, long atNanos) {
		if (this.state.next() >= next && this.confirmedNanos.map((old) -> atNanos - old > 0).orElse(true)) {
			this.confirmedNanos = Optional.of(atNanos);
		}
	}

	/**
	 * Folds the records that continue the state and ignores older ones.
	 * @param records records in the order of their offsets
	 * @return the number of folded records
	 */
	synchronized int fold(List<LogRecord> records) {
		int folded = 0;
		for (LogRecord record : records) {
			if (record.offset() == this.state.next()) {
				foldNext(record);
				folded++;
			}
		}
		return folded;
	}

	/**
	 * Jumps to a checkpoint unless the state is already past it.
	 * @param checkpoint the checkpoint
	 * @return whether the state is at or past the checkpoint now
	 */
	synchronized boolean jump(CheckpointAssembler.Whole checkpoint) {
		if (checkpoint.covers() >= this.state.next()) {
			this.tail.restart(checkpoint.covers());
			this.state = checkpoint.state();
		}
		return true;
	}

	/**
	 * Folds records of a peer; where they leave a gap, they are collected until they hold
	 * a whole checkpoint with its tail.
	 * @param records records in the order of their offsets
	 * @return the number of folded records
	 */
	synchronized int foldFromPeer(List<LogRecord> records) {
		if (records.isEmpty() || records.get(0).offset() <= this.state.next()) {
			this.peerRecords.clear();
			return fold(records);
		}
		collect(records);
		return joinFromPeer();
	}

	synchronized List<LogRecord> since(long offset, int max) {
		return this.tail.since(offset, max);
	}

	/**
	 * Returns the offset to ask a peer for next.
	 * @return the offset that continues what is folded or collected
	 */
	synchronized long wantedFromPeer() {
		return this.peerRecords.isEmpty() ? this.state.next()
				: this.peerRecords.get(this.peerRecords.size() - 1).offset() + 1;
	}

	synchronized CheckpointWriter.Backlog backlog() {
		return new CheckpointWriter.Backlog(this.tail.changes(), this.tail.oldestMillis());
	}

	synchronized List<Verdict> history(int limit) {
		return this.history.stream().limit(limit).toList();
	}

	synchronized void await(String id) {
		this.awaited.putIfAbsent(id, Optional.empty());
	}

	synchronized void forget(String id) {
		this.awaited.remove(id);
	}

	/**
	 * Returns the verdict on a change that is waited for.
	 * @param change the change
	 * @return the first verdict on its id, or empty if the id was not folded
	 */
	synchronized Optional<Verdict> verdict(Change change) {
		Optional<Verdict> seen = this.awaited.getOrDefault(change.id(), Optional.empty());
		return seen.isPresent() ? seen : rememberedVerdict(change);
	}

	// A jump over the record leaves only its remembered id.
	private Optional<Verdict> rememberedVerdict(Change change) {
		return this.state.changeIds()
			.find(change.id(), this.state.logMillis())
			.map((entry) -> new Verdict(change, entry.offset(),
					(entry.digest() == CatalogueFold.digest(change)) ? entry.kind() : Verdict.Kind.DUPLICATE,
					this.state.view().entry(change.key()), "folded at offset " + entry.offset()));
	}

	private void foldNext(LogRecord record) {
		CatalogueFold.Step step = CatalogueFold.step(this.state, record);
		this.state = step.state();
		this.tail.add(record, step.verdict().isPresent());
		step.skipped().ifPresent((reason) -> logger.warn(CatalogueEvents.RECORD_SKIPPED, record.offset(), reason));
		step.verdict().ifPresent(this::keep);
	}

	private void keep(Verdict verdict) {
		logger.info(CatalogueEvents.CHANGE_FOLDED, verdict.change().id(), verdict.offset(), verdict.kind(),
				verdict.explanation());
		this.history.addFirst(verdict);
		if (this.history.size() > HISTORY) {
			this.history.removeLast();
		}
		this.awaited.computeIfPresent(verdict.change().id(),
				(id, first) -> first.isPresent() ? first : Optional.of(verdict));
	}

	private void collect(List<LogRecord> records) {
		if (records.get(0).offset() != wantedFromPeer()) {
			this.peerRecords.clear();
		}
		this.peerRecords.addAll(records);
		if (this.peerRecords.size() > MAX_PEER_RECORDS) {
			this.peerRecords.clear();
		}
	}

	private int joinFromPeer() {
		CheckpointAssembler assembler = new CheckpointAssembler(this.reader);
		for (LogRecord record : List.copyOf(this.peerRecords)) {
			Optional<CheckpointAssembler.Whole> whole = assembler.add(record)
				.filter((found) -> found.covers() + 1 >= this.peerRecords.get(0).offset());
			if (whole.isPresent()) {
				jump(whole.get());
				int folded = fold(this.peerRecords);
				this.peerRecords.clear();
				logger.info(CatalogueEvents.JOINED, whole.get().covers(), this.state.next() - 1);
				return folded;
			}
		}
		return 0;
	}

}
