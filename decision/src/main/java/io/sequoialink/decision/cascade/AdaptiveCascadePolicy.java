package io.sequoialink.decision.cascade;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;

import io.sequoialink.decision.Attempt;
import io.sequoialink.decision.Candidate;
import io.sequoialink.decision.CascadePolicy;
import io.sequoialink.decision.RequestFacts;
import io.sequoialink.decision.TierDecision;
import io.sequoialink.model.ClassId;
import io.sequoialink.model.VersionId;

/**
 * The default policy: chooses the attempt with the highest expected value, which is the
 * price of a good answer times the expected number of good answers, minus the expected
 * cost. A feedback controller sets the price per request class so that the share of good
 * answers meets the quality target. The success probabilities of the versions are learnt
 * from ratings: in {@link #next} for answers after which it can escalate, and in
 * {@link #learn} for all others. {@link #learn} must be called for each of those, also if
 * it has no rating.
 * <p>
 * A session keeps its version, and a streamed answer is never escalated. Escalation only
 * goes to more expensive versions, and only while enough time is left until the deadline.
 * Thread-safe: each request class has one lock, and no thread holds two of them. The time
 * of a decision grows with the square of the number of candidates.
 */
public final class AdaptiveCascadePolicy implements CascadePolicy {

	/** Longest wait for a rating, as a multiple of the expected wait. */
	private static final double MAX_RATING_WAITS = 3;

	private static final Comparator<Candidate> BY_COST = Comparator
		.comparingLong((candidate) -> candidate.version().cost());

	/** Standard deviations below the mean of the one-sided 95 % confidence bound. */
	private static final double LOWER_BOUND_DEVIATIONS = 1.645;

	/**
	 * Upper bound of the estimated ratio between actual and expected answer length; its
	 * inverse is the lower bound.
	 */
	private static final double MAX_LENGTH_RATIO = 4;

	private final CascadeParameters parameters;

	private final ProbabilitySource probabilitySource;

	private final NoiseEstimate noise;

	private final Map<ClassId, RequestClassState> classes = new ConcurrentHashMap<>();

	public AdaptiveCascadePolicy(CascadeParameters parameters) {
		this(parameters, ProbabilitySource.NONE);
	}

	public AdaptiveCascadePolicy(CascadeParameters parameters, ProbabilitySource source) {
		this.parameters = parameters;
		this.probabilitySource = source;
		this.noise = new NoiseEstimate(parameters.passMark(), parameters.ratingNoise());
	}

	@Override
	public TierDecision start(RequestFacts request, List<Candidate> candidates, double remainingMillis,
			RandomGenerator random) {
		List<Candidate> sorted = sortedByCost(candidates);
		RequestClassState state = state(request);
		state.recordArrival(request, sorted.get(sorted.size() - 1).version().cost());
		if (request.sessionVersion().isPresent()) {
			return new TierDecision(request.sessionVersion().get(), false, List.of());
		}
		EscalationPlan plan = state.createPlan(request, sorted);
		int exploredIndex = exploredIndex(state, sorted, random);
		int chosen = (exploredIndex >= 0) ? exploredIndex : bestFirstIndex(request, plan, sorted, remainingMillis);
		return decision(state, plan, sorted, chosen, exploredIndex >= 0, remainingMillis);
	}

	@Override
	public Optional<TierDecision> next(RequestFacts request, List<Candidate> candidates, List<Attempt> attempts,
			double remainingMillis, RandomGenerator random) {
		if (cannotEscalate(request)) {
			return Optional.empty();
		}
		RequestClassState state = state(request);
		double[] answerProbabilities = new double[attempts.size()];
		state.learnLastAttempt(attempts, answerProbabilities);
		int best = Math.max(0, BestAnswer.index(attempts));
		List<Candidate> sorted = sortedByCost(candidates);
		EscalationPlan plan = state.createPlan(request, sorted);
		int last = indexOf(sorted, attempts.get(attempts.size() - 1).version());
		plan.solve(estimatedLength(sorted, last, attempts), remainingMillis, this.parameters.ratingWaitMillis());
		int bestTier = indexOf(sorted, attempts.get(best).version());
		int chosen = EscalationPlan.STOP;
		double highestGain = 0;
		for (int i = last + 1; last >= 0 && i < sorted.size(); i++) {
			double gain = plan.gain(Math.max(0, bestTier), answerProbabilities[best], last, i);
			if (gain > highestGain && plan.expectedMillis(i) <= remainingMillis) {
				highestGain = gain;
				chosen = i;
			}
		}
		if (chosen == EscalationPlan.STOP) {
			state.recordReturnedAnswer(request, attempts.get(best).version(), answerProbabilities[best]);
			return Optional.empty();
		}
		return Optional.of(decision(state, plan, sorted, chosen, false, remainingMillis));
	}

	@Override
	public double maxRatingWaitMillis(double remainingMillis) {
		return Math.min(remainingMillis, MAX_RATING_WAITS * this.parameters.ratingWaitMillis());
	}

	@Override
	public void learn(RequestFacts request, Attempt attempt, double weight) {
		if (cannotEscalate(request)) {
			state(request).learnFinalAnswer(request, attempt, weight);
		}
	}

	private int bestFirstIndex(RequestFacts request, EscalationPlan plan, List<Candidate> sorted,
			double remainingMillis) {
		double[] values = new double[sorted.size()];
		for (int step = -1; step <= 1; step++) {
			double length = 1 + step * this.parameters.answerSpread();
			plan.solve(length, remainingMillis, this.parameters.ratingWaitMillis());
			for (int i = 0; i < values.length; i++) {
				values[i] += cannotEscalate(request) ? plan.valueWithoutEscalation(i) : plan.valueWithEscalation(i);
			}
		}
		int best = -1;
		int fastest = 0;
		for (int i = 0; i < values.length; i++) {
			fastest = (sorted.get(i).expectedMillis() < sorted.get(fastest).expectedMillis()) ? i : fastest;
			if (meetsDeadline(sorted.get(i), remainingMillis) && (best < 0 || values[i] > values[best])) {
				best = i;
			}
		}
		return (best >= 0) ? best : fastest;
	}

	private double estimatedLength(List<Candidate> sorted, int last, List<Attempt> attempts) {
		if (last < 0) {
			return 1;
		}
		Candidate candidate = sorted.get(last);
		double expected = candidate.expectedMillis() - candidate.expectedFirstTokenMillis();
		double taken = attempts.get(attempts.size() - 1).millis() - candidate.expectedFirstTokenMillis();
		if (expected <= 0 || taken <= 0) {
			return 1;
		}
		return Math.pow(Math.max(1 / MAX_LENGTH_RATIO, Math.min(MAX_LENGTH_RATIO, taken / expected)),
				this.parameters.lengthTrust());
	}

	private int exploredIndex(RequestClassState state, List<Candidate> sorted, RandomGenerator random) {
		double draw = random.nextDouble();
		if (draw < this.parameters.driftShare()) {
			return random.nextInt(sorted.size());
		}
		if (draw >= this.parameters.driftShare() + this.parameters.explorationShare()) {
			return -1;
		}
		int least = -1;
		double lowestWeight = this.parameters.explorationFloor();
		for (int i = 0; i < sorted.size(); i++) {
			double weight = state.evidenceWeight(sorted.get(i).version().id());
			if (weight < lowestWeight) {
				lowestWeight = weight;
				least = i;
			}
		}
		return least;
	}

	private TierDecision decision(RequestClassState state, EscalationPlan plan, List<Candidate> sorted, int chosen,
			boolean explored, double remainingMillis) {
		List<TierDecision.Considered> considered = new ArrayList<>(sorted.size());
		for (int i = 0; i < sorted.size(); i++) {
			VersionId id = sorted.get(i).version().id();
			double probability = plan.firstProbability[i];
			double weight = state.evidenceWeight(id) + this.parameters.priorStrength();
			double lower = probability
					- LOWER_BOUND_DEVIATIONS * Math.sqrt(probability * (1 - probability) / (weight + 1));
			considered.add(new TierDecision.Considered(id, probability, Math.max(0, lower), plan.expectedCost(i),
					note(i, chosen, explored, meetsDeadline(sorted.get(i), remainingMillis))));
		}
		return new TierDecision(sorted.get(chosen).version().id(), explored, considered);
	}

	private static String note(int index, int chosen, boolean explored, boolean inTime) {
		if (index == chosen) {
			return explored ? "explored" : "chosen";
		}
		if (!inTime) {
			return "too_slow";
		}
		return (index > chosen) ? "dearer" : "below_target";
	}

	private boolean meetsDeadline(Candidate candidate, double remainingMillis) {
		return candidate.expectedMillis() <= remainingMillis * this.parameters.startSlack();
	}

	private RequestClassState state(RequestFacts request) {
		return this.classes.computeIfAbsent(request.requestClass(),
				(id) -> new RequestClassState(id, this.parameters, this.probabilitySource, this.noise));
	}

	private static boolean cannotEscalate(RequestFacts request) {
		return request.streamed() || request.sessionVersion().isPresent();
	}

	private static int indexOf(List<Candidate> sorted, VersionId version) {
		for (int i = 0; i < sorted.size(); i++) {
			if (sorted.get(i).version().id().equals(version)) {
				return i;
			}
		}
		return -1;
	}

	private static List<Candidate> sortedByCost(List<Candidate> candidates) {
		for (int i = 1; i < candidates.size(); i++) {
			if (BY_COST.compare(candidates.get(i - 1), candidates.get(i)) > 0) {
				Candidate[] copy = candidates.toArray(new Candidate[0]);
				Arrays.sort(copy, BY_COST);
				return List.of(copy);
			}
		}
		return candidates;
	}

}
