package io.sequoialink.catalogue;

import java.util.Objects;
import java.util.Optional;

import io.sequoialink.model.CatalogueView;
import io.sequoialink.remote.LogRecord;

/**
 * The fold of the configuration stream: a pure function of the state and the next record.
 * Every host that folds the same records reaches the same verdicts and equal states. A
 * change is accepted only if its object is still at the revision that the change names,
 * its id is new within the window of {@link ChangeIds}, and the configuration stays
 * valid. Stateless and thread-safe.
 */
public final class CatalogueFold {

	private CatalogueFold() {
	}

	/**
	 * Folds the next record.
	 * @param state the state before the record
	 * @param record the record at offset {@link FoldState#next()}
	 * @return the state after it, with the verdict or the reason for skipping it
	 * @throws IllegalArgumentException if the record is not the next one
	 */
	public static Step step(FoldState state, LogRecord record) {
		if (record.offset() != state.next()) {
			throw new IllegalArgumentException("offset " + record.offset() + " does not follow " + state.next());
		}
		FoldState advanced = state.advanced(record.offset(), record.atMillis());
		try {
			if (ConfigRecords.read(record.payload()) instanceof ConfigRecord.ChangeRecord change) {
				return fold(advanced, change.change(), record.offset());
			}
			return new Step(advanced, Optional.empty(), Optional.empty());
		}
		catch (MalformedRecordException ex) {
			return new Step(advanced, Optional.empty(), Optional.of(ex.getMessage()));
		}
	}

	/**
	 * Returns the verdict that a change would get if it were the next record.
	 * @param state the state
	 * @param change the change
	 * @return the verdict, with offset -1
	 */
	public static Verdict preview(FoldState state, Change change) {
		return fold(state, change, -1).verdict().orElseThrow();
	}

	private static Step fold(FoldState state, Change change, long offset) {
		Optional<ChangeIds.Entry> earlier = state.changeIds().find(change.id(), state.logMillis());
		Optional<CatalogueView.Entry> current = state.view().entry(change.key());
		if (earlier.isPresent()) {
			return Step.of(state, new Verdict(change, offset, Verdict.Kind.DUPLICATE, current,
					"first folded at offset " + earlier.get().offset() + " as " + earlier.get().kind()));
		}
		Optional<String> conflict = conflict(state, change, current);
		if (conflict.isPresent()) {
			return remember(state, new Verdict(change, offset, Verdict.Kind.CONFLICT, current, conflict.get()));
		}
		if (current.isEmpty() && change.object().isEmpty()) {
			return remember(state, new Verdict(change, offset, Verdict.Kind.INVALID, current,
					change.key() + " does not exist and can't be deleted"));
		}
		return validate(state, change, offset, current);
	}

	private static Optional<String> conflict(FoldState state, Change change, Optional<CatalogueView.Entry> current) {
		long revision = current.map(CatalogueView.Entry::revision).orElse(-1L);
		if (revision == change.expectedRevision()) {
			return Optional.empty();
		}
		if (current.isEmpty()) {
			return Optional
				.of(change.key() + " does not exist, the change expects revision " + change.expectedRevision());
		}
		FoldState.LastChange last = state.lastChange(change.key()).orElseThrow();
		return Optional.of(change.key() + " is at revision " + revision + " by change " + last.id() + " of "
				+ last.author() + ", the change expects " + change.expectedRevision());
	}

	private static Step validate(FoldState state, Change change, long offset, Optional<CatalogueView.Entry> current) {
		CatalogueView after = state.view()
			.with(change.key(), change.object().map((object) -> new CatalogueView.Entry(object, offset)));
		Optional<String> violation = CatalogueRules.violation(after);
		if (violation.isPresent()) {
			return remember(state, new Verdict(change, offset, Verdict.Kind.INVALID, current, violation.get()));
		}
		FoldState changed = state.changed(after, change.key(), new FoldState.LastChange(change.id(), change.author()));
		return remember(changed,
				new Verdict(change, offset, Verdict.Kind.ACCEPTED, current, "in force from offset " + offset));
	}

	static long digest(Change change) {
		return Long.parseUnsignedLong(Checkpoint.digest(ConfigRecords.write(change)).substring(0, Long.BYTES * 2), 16);
	}

	private static Step remember(FoldState state, Verdict verdict) {
		Change change = verdict.change();
		return Step.of(state.remembering(
				new ChangeIds.Entry(change.id(), verdict.offset(), state.logMillis(), verdict.kind(), digest(change))),
				verdict);
	}

	/**
	 * The result of folding one record. Immutable and thread-safe.
	 *
	 * @param state the state after the record
	 * @param verdict the verdict, if the record is a change
	 * @param skipped why the record was skipped, if it was
	 */
	public record Step(FoldState state, Optional<Verdict> verdict, Optional<String> skipped) {

		public Step {
			Objects.requireNonNull(state, "state");
		}

		private static Step of(FoldState state, Verdict verdict) {
			return new Step(state, Optional.of(verdict), Optional.empty());
		}

	}

}
