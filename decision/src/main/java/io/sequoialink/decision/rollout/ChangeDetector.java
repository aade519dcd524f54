package io.sequoialink.decision.rollout;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Watches the evidence of one version from its start and from a bounded number of
 * restarts, so that good answers of the past do not hide a version that turns bad. Each
 * restart has its own error rate; the false alarms per answer are at most the restart's
 * error rate over the answers between restarts. Not thread-safe: guarded by its policy's
 * lock.
 */
final class ChangeDetector {

	private final RolloutSettings settings;

	private final SequentialTests tests;

	private final Deque<Evidence> restarts = new ArrayDeque<>();

	private Evidence last = Evidence.none();

	ChangeDetector(RolloutSettings settings) {
		this.settings = settings;
		this.tests = new SequentialTests(settings);
	}

	// Judges the evidence so far; empty while there is no cause to stop.
	Optional<SequentialTests.Finding> judge(Evidence now, Evidence reference) {
		if (!renew(now)) {
			return Optional.empty();
		}
		Optional<SequentialTests.Finding> found = exceeding(now, reference, this.settings.alpha())
			.or(() -> sinceRestarts(now, reference));
		restart(now);
		return found;
	}

	// Judges only what came after the restarts, against what came before them and any
	// further reference, for a version with a long past.
	Optional<SequentialTests.Finding> judgeChange(Evidence now, Evidence further) {
		if (!renew(now)) {
			return Optional.empty();
		}
		Evidence past = this.restarts.isEmpty() ? further : further.plus(this.restarts.peekFirst());
		Optional<SequentialTests.Finding> found = (past.ended() < this.settings.referenceAnswers()) ? Optional.empty()
				: sinceRestarts(now, past);
		restart(now);
		return found;
	}

	// Returns whether there is anything new; counts that fell belong to other hosts.
	private boolean renew(Evidence now) {
		if (now.equals(this.last)) {
			return false;
		}
		if (now.started() < this.last.started()) {
			this.restarts.clear();
		}
		this.last = now;
		return true;
	}

	// Returns the score over all evidence, to hold a stage while in doubt.
	double score(Evidence now, Evidence reference) {
		return this.tests.worst(now, reference).score();
	}

	private Optional<SequentialTests.Finding> sinceRestarts(Evidence now, Evidence reference) {
		for (Evidence restart : this.restarts) {
			Optional<SequentialTests.Finding> found = exceeding(now.minus(restart).endedOnly(), reference,
					this.settings.restartAlpha());
			if (found.isPresent()) {
				return found;
			}
		}
		return Optional.empty();
	}

	private Optional<SequentialTests.Finding> exceeding(Evidence tested, Evidence reference, double alpha) {
		SequentialTests.Finding worst = this.tests.worst(tested, reference);
		return (worst.score() >= Math.log(1 / alpha)) ? Optional.of(worst) : Optional.empty();
	}

	private void restart(Evidence now) {
		Evidence newest = this.restarts.isEmpty() ? Evidence.none() : this.restarts.peekLast();
		if (now.started() - newest.started() >= this.settings.restartAnswers()) {
			this.restarts.addLast(now);
			if (this.restarts.size() > this.settings.restarts()) {
				this.restarts.removeFirst();
			}
		}
	}

}
