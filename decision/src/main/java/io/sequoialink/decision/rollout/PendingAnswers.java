package io.sequoialink.decision.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

import io.sequoialink.decision.Attempt;
import io.sequoialink.decision.RequestFacts;
import io.sequoialink.model.VersionId;

/**
 * This host's answers that are not resolved: in flight or whole and unrated. Each holds
 * its credit until it failed, was rated, or ran out of time; what has no end by its
 * deadline has failed. Not thread-safe: guarded by its policy's lock.
 */
final class PendingAnswers {

	private static final Set<String> NEUTRAL_OUTCOMES = Set.of("rejected", "overloaded", "unreachable", "cancelled",
			"caller_gone");

	private static final String WHOLE = "whole";

	private static final int FORGOTTEN_KEPT = 8192;

	private final EvidenceTable table;

	private final long ratingTimeoutMillis;

	private final Map<String, Pending> pending = new LinkedHashMap<>();

	private final Map<String, Integer> credits = new HashMap<>();

	private final Map<String, Boolean> forgotten = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
			return size() > FORGOTTEN_KEPT;
		}

	};

	PendingAnswers(EvidenceTable table, long ratingTimeoutMillis) {
		this.table = table;
		this.ratingTimeoutMillis = ratingTimeoutMillis;
	}

	boolean holds(RequestFacts request, VersionId version) {
		return this.pending.containsKey(key(request, version));
	}

	int creditsHeld(String rollout) {
		return this.credits.getOrDefault(rollout, 0);
	}

	// Begins an attempt that counts in some cells; a credit is held if one is named.
	void begin(RequestFacts request, VersionId version, List<String> cells, Optional<String> credit) {
		String key = key(request, version);
		this.forgotten.remove(key);
		if (this.pending.putIfAbsent(key, new Pending(request, cells, credit)) == null) {
			credit.ifPresent((rollout) -> this.credits.merge(rollout, 1, Integer::sum));
			count(cells, Evidence.STARTED);
		}
	}

	void observe(RequestFacts request, Attempt attempt, List<String> defaultCells, long nowMillis) {
		String key = key(request, attempt.version());
		if (this.forgotten.containsKey(key)) {
			return;
		}
		if (!this.pending.containsKey(key)) {
			begin(request, attempt.version(), defaultCells, Optional.empty());
		}
		Pending answer = this.pending.get(key);
		if (answer.ended) {
			rate(key, answer, attempt.rating());
		}
		else {
			end(key, answer, attempt, nowMillis);
		}
	}

	private void end(String key, Pending answer, Attempt attempt, long nowMillis) {
		if (!WHOLE.equals(attempt.outcome())) {
			resolve(key, answer, NEUTRAL_OUTCOMES.contains(attempt.outcome()) ? Evidence.NEUTRAL : Evidence.FAILED);
			return;
		}
		answer.ended = true;
		answer.dueMillis = nowMillis + this.ratingTimeoutMillis;
		count(answer.cells, Evidence.WHOLE);
		if (!answer.goesOn) {
			// The turns of a session are of one class: their times are not independent.
			count(answer.cells, Evidence.latencyIndex(attempt.millis()));
		}
		if (attempt.rating().isPresent()) {
			rate(key, answer, attempt.rating());
		}
	}

	private void rate(String key, Pending answer, OptionalDouble rating) {
		resolve(key, answer, rating.isPresent() ? Evidence.ratingIndex(rating.getAsDouble()) : Evidence.UNRATED);
	}

	// Ends what has run out of time.
	void expire(long nowMillis) {
		List<String> due = new ArrayList<>();
		this.pending.forEach((key, answer) -> {
			if (answer.dueMillis < nowMillis) {
				due.add(key);
			}
		});
		for (String key : due) {
			Pending answer = this.pending.get(key);
			resolve(key, answer, answer.ended ? Evidence.UNRATED : Evidence.FAILED);
		}
	}

	// Drops cells that are no longer kept, so that they are not written again.
	void retain(Set<String> cells) {
		Iterator<Pending> answers = this.pending.values().iterator();
		while (answers.hasNext()) {
			Pending answer = answers.next();
			if (answer.cells.stream().noneMatch(cells::contains)) {
				answer.credit.ifPresent(this::giveBack);
				answers.remove();
			}
		}
	}

	private void resolve(String key, Pending answer, int index) {
		this.pending.remove(key);
		this.forgotten.put(key, true);
		answer.credit.ifPresent(this::giveBack);
		count(answer.cells, index);
	}

	private void giveBack(String rollout) {
		this.credits.computeIfPresent(rollout, (key, held) -> (held > 1) ? held - 1 : null);
	}

	private void count(List<String> cells, int index) {
		cells.forEach((cell) -> this.table.add(cell, index));
	}

	private static String key(RequestFacts request, VersionId version) {
		return request.id() + "/" + version;
	}

	/** One answer. Guarded by the policy's lock. */
	private static final class Pending {

		private final List<String> cells;

		private final Optional<String> credit;

		private final boolean goesOn;

		private long dueMillis;

		private boolean ended;

		private Pending(RequestFacts request, List<String> cells, Optional<String> credit) {
			this.cells = cells;
			this.credit = credit;
			this.goesOn = request.sessionVersion().isPresent();
			this.dueMillis = request.deadlineMillis();
		}

	}

}
