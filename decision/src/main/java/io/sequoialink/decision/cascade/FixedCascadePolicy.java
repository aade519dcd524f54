package io.sequoialink.decision.cascade;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.sequoialink.decision.Attempt;
import io.sequoialink.decision.Candidate;
import io.sequoialink.decision.CascadePolicy;
import io.sequoialink.decision.RequestFacts;
import io.sequoialink.decision.TierDecision;

/**
 * Baseline for comparisons: starts every request on the same tier and escalates by one
 * tier while the rating is below a fixed threshold and enough time is left. Does not
 * learn from ratings. Immutable and thread-safe.
 */
public final class FixedCascadePolicy implements CascadePolicy {

	private final int startTier;

	private final double threshold;

	/**
	 * Creates a fixed cascade.
	 * @param startTier index of the first candidate to try; a larger index than that of
	 * the last candidate selects the last one
	 * @param threshold rating below which it escalates; 0 to never escalate
	 */
	public FixedCascadePolicy(int startTier, double threshold) {
		this.startTier = startTier;
		this.threshold = threshold;
	}

	@Override
	public TierDecision start(RequestFacts request, List<Candidate> candidates, double remainingMillis,
			RandomGenerator random) {
		int tier = Math.min(this.startTier, candidates.size() - 1);
		return request.sessionVersion()
			.map((version) -> new TierDecision(version, false, List.of()))
			.orElseGet(() -> new TierDecision(candidates.get(tier).version().id(), false, List.of()));
	}

	@Override
	public Optional<TierDecision> next(RequestFacts request, List<Candidate> candidates, List<Attempt> attempts,
			double remainingMillis, RandomGenerator random) {
		Attempt last = attempts.get(attempts.size() - 1);
		if (request.streamed() || request.sessionVersion().isPresent() || last.rating().orElse(1) >= this.threshold) {
			return Optional.empty();
		}
		for (int i = 0; i < candidates.size() - 1; i++) {
			Candidate above = candidates.get(i + 1);
			if (candidates.get(i).version().id().equals(last.version())) {
				return (above.expectedMillis() <= remainingMillis)
						? Optional.of(new TierDecision(above.version().id(), false, List.of())) : Optional.empty();
			}
		}
		return Optional.empty();
	}

	@Override
	public void learn(RequestFacts request, Attempt attempt, double weight) {
		// A fixed cascade learns nothing.
	}

}
