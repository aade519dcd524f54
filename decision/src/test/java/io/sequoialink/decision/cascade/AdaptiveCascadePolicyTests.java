package io.sequoialink.decision.cascade;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.SplittableRandom;

import io.sequoialink.decision.Attempt;
import io.sequoialink.decision.Candidate;
import io.sequoialink.decision.RequestFacts;
import io.sequoialink.decision.TierDecision;
import io.sequoialink.model.AccountId;
import io.sequoialink.model.ClassId;
import io.sequoialink.model.Effect;
import io.sequoialink.model.Labels;
import io.sequoialink.model.ModelVersion;
import io.sequoialink.model.RequestId;
import io.sequoialink.model.ServerId;
import io.sequoialink.model.VersionId;
import io.sequoialink.model.VersionState;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AdaptiveCascadePolicyTests {

	private static final CascadeParameters WITHOUT_EXPLORATION = CascadeParameters.builder()
		.explorationShare(0)
		.driftShare(0)
		.build();

	private final SplittableRandom random = new SplittableRandom(9);

	private final AdaptiveCascadePolicy policy = new AdaptiveCascadePolicy(WITHOUT_EXPLORATION);

	@Property(tries = 200, seed = "11")
	void escalatesOnlyToMoreExpensiveVersionsThatMeetTheDeadlineAndToEachOnce(
			@ForAll @IntRange(min = 1, max = 19) int size, @ForAll long seed) {
		SplittableRandom generator = new SplittableRandom(seed);
		AdaptiveCascadePolicy newPolicy = new AdaptiveCascadePolicy(CascadeParameters.DEFAULT);
		List<Candidate> candidates = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			candidates.add(candidate("v" + i, generator.nextInt(1000), generator.nextInt(2000)));
		}
		RequestFacts request = request(false, Optional.empty());
		double remaining = 5000;
		List<Attempt> attempts = new ArrayList<>();
		Optional<TierDecision> decision = Optional.of(newPolicy.start(request, candidates, remaining, generator));
		long cost = -1;
		while (decision.isPresent()) {
			Candidate chosen = candidate(candidates, decision.get().version());
			assertThat(chosen.version().cost()).isGreaterThanOrEqualTo(cost);
			assertThat(attempts).noneMatch((attempt) -> attempt.version().equals(chosen.version().id()));
			assertThat(chosen.expectedMillis()).isLessThanOrEqualTo(remaining);
			cost = chosen.version().cost();
			remaining -= chosen.expectedMillis();
			attempts.add(attempt(chosen.version().id(), generator.nextDouble(), chosen.expectedMillis()));
			decision = newPolicy.next(request, candidates, attempts, remaining, generator);
		}
		assertThat(attempts).hasSizeLessThanOrEqualTo(size);
	}

	@Test
	void sessionsKeepTheirVersionAndStreamedAnswersAreNeverEscalated() {
		List<Candidate> candidates = List.of(candidate("small", 1, 10), candidate("large", 20, 10));
		RequestFacts sessionRequest = request(false, Optional.of(new VersionId("large")));
		assertThat(this.policy.start(sessionRequest, candidates, 1000, this.random).version())
			.isEqualTo(new VersionId("large"));
		List<Attempt> bad = List.of(attempt(new VersionId("small"), 0, 10));
		assertThat(this.policy.next(sessionRequest, candidates, bad, 1000, this.random)).isEmpty();
		assertThat(this.policy.next(request(true, Optional.empty()), candidates, bad, 1000, this.random)).isEmpty();
	}

	@Test
	void lowRatingEscalatesWhileTimeIsLeftAndHighRatingDoesNot() {
		List<Candidate> candidates = List.of(candidate("small", 1, 100), candidate("large", 20, 100));
		RequestFacts request = request(false, Optional.empty());
		VersionId small = this.policy.start(request, candidates, 5000, this.random).version();
		assertThat(small).isEqualTo(new VersionId("small"));
		List<Attempt> low = List.of(attempt(small, 0.1, 100));
		assertThat(this.policy.next(request, candidates, low, 5000, this.random).map(TierDecision::version))
			.contains(new VersionId("large"));
		assertThat(this.policy.next(request, candidates, low, 99, this.random)).isEmpty();
		assertThat(this.policy.next(request, candidates, List.of(attempt(small, 0.9, 100)), 5000, this.random))
			.isEmpty();
	}

	@Test
	void coldStartChoosesTheMostExpensiveVersionForAStreamedAnswer() {
		List<Candidate> candidates = List.of(candidate("small", 1, 10), candidate("medium", 4, 10),
				candidate("large", 20, 10));
		assertThat(this.policy.start(request(true, Optional.empty()), candidates, 1000, this.random).version())
			.isEqualTo(new VersionId("large"));
	}

	@Test
	void coldStartChoosesTheMostExpensiveVersionWithoutLengthVariation() {
		List<Candidate> candidates = List.of(candidate("small", 1, 10), candidate("large", 20, 10));
		AdaptiveCascadePolicy withoutVariation = new AdaptiveCascadePolicy(
				CascadeParameters.builder().explorationShare(0).driftShare(0).answerSpread(0).build());
		assertThat(withoutVariation.start(request(true, Optional.empty()), candidates, 1000, this.random).version())
			.isEqualTo(new VersionId("large"));
	}

	@Test
	void missedTargetSelectsExpensiveVersionAndExceededTargetCheapOne() {
		List<Candidate> candidates = List.of(candidate("small", 1, 10), candidate("large", 20, 10));
		RequestFacts stream = request(true, Optional.empty());
		serve(this.policy, stream, candidates, 3000, 0.95);
		VersionId whenExceeded = this.policy.start(stream, candidates, 1000, this.random).version();
		serve(this.policy, stream, candidates, 1000, 0.6);
		VersionId whenMissed = this.policy.start(stream, candidates, 1000, this.random).version();
		assertThat(whenExceeded).isEqualTo(new VersionId("small"));
		assertThat(whenMissed).isEqualTo(new VersionId("large"));
	}

	@Test
	void missingRatingsShiftRequestsToTheMostExpensiveVersion() {
		List<Candidate> candidates = List.of(candidate("small", 1, 10), candidate("large", 20, 10));
		RequestFacts stream = request(true, Optional.empty());
		AdaptiveCascadePolicy exploring = new AdaptiveCascadePolicy(CascadeParameters.DEFAULT);
		serve(exploring, stream, candidates, 6000, 0.93);
		assertThat(exploring.start(stream, candidates, 1000, this.random).version()).isEqualTo(new VersionId("small"));
		int large = 0;
		for (int i = 0; i < 3000; i++) {
			TierDecision decision = exploring.start(stream, candidates, 1000, this.random);
			large += (!decision.exploration() && decision.version().equals(new VersionId("large"))) ? 1 : 0;
			exploring.learn(stream, unrated(decision.version()), 1);
		}
		assertThat(large).isGreaterThan(300);
	}

	private void serve(AdaptiveCascadePolicy policy, RequestFacts request, List<Candidate> candidates, int count,
			double smallProbability) {
		for (int i = 0; i < count; i++) {
			VersionId version = policy.start(request, candidates, 1000, this.random).version();
			double probability = version.equals(new VersionId("small")) ? smallProbability : 0.98;
			double rating = this.random.nextDouble() / 2 + ((this.random.nextDouble() < probability) ? 0.5 : 0);
			policy.learn(request, attempt(version, rating, 10), 1);
		}
	}

	private static RequestFacts request(boolean streamed, Optional<VersionId> session) {
		return new RequestFacts(new RequestId("r"), new AccountId("a"), new ClassId("c"), 0.9, 1000, 100, 100, streamed,
				session, false, 0, "", 0);
	}

	private static Candidate candidate(String id, long cost, double millis) {
		return new Candidate(new ModelVersion(new VersionId(id), Labels.none(), cost, VersionState.OFFERED), 0, millis);
	}

	private static Candidate candidate(List<Candidate> candidates, VersionId id) {
		return candidates.stream().filter((candidate) -> candidate.version().id().equals(id)).findFirst().orElseThrow();
	}

	private static Attempt attempt(VersionId version, double rating, double millis) {
		return new Attempt(version, new ServerId("s"), Effect.DONE, OptionalDouble.of(rating), "whole", (long) millis);
	}

	private static Attempt unrated(VersionId version) {
		return new Attempt(version, new ServerId("s"), Effect.DONE, OptionalDouble.empty(), "whole", 10);
	}

}
