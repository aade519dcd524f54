package io.sequoialink.decision.rollout;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Tests the answers of one version since its start and since a bounded number of later
 * points (restarts), so that good answers of the past do not hide a version that becomes
 * bad. Each restart has its own error rate; the false alarms per answer are at most that
 * rate divided by the number of answers between two restarts. Not thread-safe: guarded by
 * the lock of its policy.
 */
final class ChangeDetector {

	private final RolloutSettings settings;

	private final SequentialTests tests;

	private final Deque<AnswerStatistics> restarts = new ArrayDeque<>();

	private AnswerStatistics last = AnswerStatistics.empty();

	ChangeDetector(RolloutSettings settings) {
		this.settings = settings;
		this.tests = new SequentialTests(settings);
	}

	// Tests all answers so far, and those since each restart; empty unless the version
	// must be stopped.
	Optional<SequentialTests.TestResult> test(AnswerStatistics current, AnswerStatistics reference) {
		if (!updateLast(current)) {
			return Optional.empty();
		}
		Optional<SequentialTests.TestResult> result = resultAboveThreshold(current, reference, this.settings.alpha())
			.or(() -> firstExceedingRestart(current, reference));
		addRestartIfDue(current);
		return result;
	}

	// Tests only the answers since each restart, against those before the oldest
	// restart and an additional reference. For a version that already has a long
	// history.
	Optional<SequentialTests.TestResult> testSinceRestarts(AnswerStatistics current,
			AnswerStatistics additionalReference) {
		if (!updateLast(current)) {
			return Optional.empty();
		}
		AnswerStatistics history = this.restarts.isEmpty() ? additionalReference
				: additionalReference.plus(this.restarts.peekFirst());
		Optional<SequentialTests.TestResult> result = (history.ended() < this.settings.referenceAnswers())
				? Optional.empty() : firstExceedingRestart(current, history);
		addRestartIfDue(current);
		return result;
	}

	// Stores the current counts and returns whether they are new. Counts that decreased
	// come from another set of hosts, so the restarts are discarded.
	private boolean updateLast(AnswerStatistics current) {
		if (current.equals(this.last)) {
			return false;
		}
		if (current.started() < this.last.started()) {
			this.restarts.clear();
		}
		this.last = current;
		return true;
	}

	// Returns the score over all answers; while it is high, the roll-out does not advance
	// to its next stage.
	double score(AnswerStatistics current, AnswerStatistics reference) {
		return this.tests.highestScore(current, reference).score();
	}

	private Optional<SequentialTests.TestResult> firstExceedingRestart(AnswerStatistics current,
			AnswerStatistics reference) {
		for (AnswerStatistics restart : this.restarts) {
			Optional<SequentialTests.TestResult> result = resultAboveThreshold(current.minus(restart).withoutInFlight(),
					reference, this.settings.restartAlpha());
			if (result.isPresent()) {
				return result;
			}
		}
		return Optional.empty();
	}

	private Optional<SequentialTests.TestResult> resultAboveThreshold(AnswerStatistics tested,
			AnswerStatistics reference, double alpha) {
		SequentialTests.TestResult highest = this.tests.highestScore(tested, reference);
		return (highest.score() >= Math.log(1 / alpha)) ? Optional.of(highest) : Optional.empty();
	}

	private void addRestartIfDue(AnswerStatistics current) {
		AnswerStatistics newest = this.restarts.isEmpty() ? AnswerStatistics.empty() : this.restarts.peekLast();
		if (current.started() - newest.started() >= this.settings.restartAnswers()) {
			this.restarts.addLast(current);
			if (this.restarts.size() > this.settings.restarts()) {
				this.restarts.removeFirst();
			}
		}
	}

}
