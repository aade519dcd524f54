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
 * Answers of this host whose result is not final yet (unresolved): attempts in flight,
 * and complete answers that wait for a rating. Each is counted in one or more cells, the
 * named counters of {@link ReplicatedCounters}. An answer of a candidate uses one credit
 * of the roll-out, which limits how many answers of its candidate are unresolved at the
 * same time, until the answer fails, is rated or expires. An attempt that has not ended
 * by its deadline counts as failed. Not thread-safe: guarded by the lock of its policy.
 */
final class PendingAnswers {

	/** Outcomes of attempts that say nothing about the version. */
	private static final Set<String> NEUTRAL_OUTCOMES = Set.of("rejected", "overloaded", "unreachable", "cancelled",
			"caller_gone");

	private static final String OUTCOME_WHOLE = "whole";

	/**
	 * Number of attempts with a final result whose keys are remembered, so that an
	 * outcome that arrives late is not counted again.
	 */
	private static final int MAX_RESOLVED_KEYS = 8192;

	private final ReplicatedCounters counters;

	private final long ratingTimeoutMillis;

	private final Map<String, Pending> pending = new LinkedHashMap<>();

	private final Map<String, Integer> creditsInUse = new HashMap<>();

	private final Map<String, Boolean> resolvedKeys = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
			return size() > MAX_RESOLVED_KEYS;
		}

	};

	PendingAnswers(ReplicatedCounters counters, long ratingTimeoutMillis) {
		this.counters = counters;
		this.ratingTimeoutMillis = ratingTimeoutMillis;
	}

	boolean isPending(RequestFacts request, VersionId version) {
		return this.pending.containsKey(key(request, version));
	}

	int creditsInUse(String rollout) {
		return this.creditsInUse.getOrDefault(rollout, 0);
	}

	// Starts an attempt that is counted in the given cells. If a roll-out is named,
	// the attempt uses one of its credits.
	void start(RequestFacts request, VersionId version, List<String> cells, Optional<String> creditOfRollout) {
		String key = key(request, version);
		this.resolvedKeys.remove(key);
		if (this.pending.putIfAbsent(key, new Pending(request, cells, creditOfRollout)) == null) {
			creditOfRollout.ifPresent((rollout) -> this.creditsInUse.merge(rollout, 1, Integer::sum));
			count(cells, AnswerStatistics.STARTED);
		}
	}

	void observe(RequestFacts request, Attempt attempt, List<String> defaultCells, long nowMillis) {
		String key = key(request, attempt.version());
		if (this.resolvedKeys.containsKey(key)) {
			return;
		}
		if (!this.pending.containsKey(key)) {
			start(request, attempt.version(), defaultCells, Optional.empty());
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
		if (!OUTCOME_WHOLE.equals(attempt.outcome())) {
			resolve(key, answer,
					NEUTRAL_OUTCOMES.contains(attempt.outcome()) ? AnswerStatistics.NEUTRAL : AnswerStatistics.FAILED);
			return;
		}
		answer.ended = true;
		answer.expiresAtMillis = nowMillis + this.ratingTimeoutMillis;
		count(answer.cells, AnswerStatistics.SUCCEEDED);
		if (!answer.continuesSession) {
			// The requests of a session belong to one class, so their latencies are
			// not independent samples.
			count(answer.cells, AnswerStatistics.latencyIndex(attempt.millis()));
		}
		if (attempt.rating().isPresent()) {
			rate(key, answer, attempt.rating());
		}
	}

	private void rate(String key, Pending answer, OptionalDouble rating) {
		resolve(key, answer,
				rating.isPresent() ? AnswerStatistics.ratingIndex(rating.getAsDouble()) : AnswerStatistics.UNRATED);
	}

	// Resolves the answers whose deadline or rating timeout has passed.
	void expire(long nowMillis) {
		List<String> expired = new ArrayList<>();
		this.pending.forEach((key, answer) -> {
			if (answer.expiresAtMillis < nowMillis) {
				expired.add(key);
			}
		});
		for (String key : expired) {
			Pending answer = this.pending.get(key);
			resolve(key, answer, answer.ended ? AnswerStatistics.UNRATED : AnswerStatistics.FAILED);
		}
	}

	// Removes the answers whose cells (counters) were all removed, for example with their
	// roll-out, so that counting them does not create these cells again.
	void retain(Set<String> cells) {
		Iterator<Pending> answers = this.pending.values().iterator();
		while (answers.hasNext()) {
			Pending answer = answers.next();
			if (answer.cells.stream().noneMatch(cells::contains)) {
				answer.creditOfRollout.ifPresent(this::releaseCredit);
				answers.remove();
			}
		}
	}

	private void resolve(String key, Pending answer, int index) {
		this.pending.remove(key);
		this.resolvedKeys.put(key, true);
		answer.creditOfRollout.ifPresent(this::releaseCredit);
		count(answer.cells, index);
	}

	private void releaseCredit(String rollout) {
		this.creditsInUse.computeIfPresent(rollout, (key, held) -> (held > 1) ? held - 1 : null);
	}

	private void count(List<String> cells, int index) {
		cells.forEach((cell) -> this.counters.increment(cell, index));
	}

	private static String key(RequestFacts request, VersionId version) {
		return request.id() + "/" + version;
	}

	/**
	 * An attempt in flight, or a complete answer that waits for its rating, with the
	 * counters in which its result will be counted. Guarded by the lock of the policy.
	 */
	private static final class Pending {

		private final List<String> cells;

		private final Optional<String> creditOfRollout;

		private final boolean continuesSession;

		private long expiresAtMillis;

		private boolean ended;

		private Pending(RequestFacts request, List<String> cells, Optional<String> creditOfRollout) {
			this.cells = cells;
			this.creditOfRollout = creditOfRollout;
			this.continuesSession = request.sessionVersion().isPresent();
			this.expiresAtMillis = request.deadlineMillis();
		}

	}

}
