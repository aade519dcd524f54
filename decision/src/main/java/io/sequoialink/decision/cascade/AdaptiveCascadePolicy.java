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
 * The default policy: takes the attempt with the highest worth of expected good answers
 * less expected cost, at a price of good answers that keeps each class at its target.
 * Chances are learnt from ratings; answers that can be taken back are learnt from in
 * {@link #next}, all others in {@link #learn}, which must be called for each of them,
 * also without a rating.
 * <p>
 * A session keeps its version; an answer that is streamed is never followed by another
 * attempt; later attempts run on dearer versions only and only while time is left.
 * Thread-safe: each class has one lock, and no two are held at once. A decision takes
 * time in the square of the number of candidates.
 */
public final class AdaptiveCascadePolicy implements CascadePolicy {

	/** The longest wait for a rating, in expected waits. */
	private static final double RATING_PATIENCE = 3;

	private static final Comparator<Candidate> BY_COST = Comparator
		.comparingLong((candidate) -> candidate.version().cost());

	private static final double LOWER_BOUND_DEVIATIONS = 1.645;

	/** Most that an answer is taken to differ from the expected length, as a factor. */
	private static final double MOST_LENGTH = 4;

	private final CascadeParameters parameters;

	private final ChanceSource source;

	private final NoiseEstimate noise;

	private final Map<ClassId, ClassState> classes = new ConcurrentHashMap<>();

	public AdaptiveCascadePolicy(CascadeParameters parameters) {
		this(parameters, ChanceSource.NONE);
	}

	public AdaptiveCascadePolicy(CascadeParameters parameters, ChanceSource source) {
		this.parameters = parameters;
		this.source = source;
		this.noise = new NoiseEstimate(parameters.passMark(), parameters.ratingNoise());
	}

	@Override
	public TierDecision start(RequestFacts request, List<Candidate> candidates, double remainingMillis,
			RandomGenerator random) {
		List<Candidate> sorted = sorted(candidates);
		ClassState state = state(request);
		state.arrived(request, sorted.get(sorted.size() - 1).version().cost());
		if (request.sessionVersion().isPresent()) {
			return new TierDecision(request.sessionVersion().get(), false, List.of());
		}
		EscalationPlan plan = state.plan(request, sorted);
		int explored = explored(state, sorted, random);
		int chosen = (explored >= 0) ? explored : bestStart(request, plan, sorted, remainingMillis);
		return decision(state, plan, sorted, chosen, explored >= 0, remainingMillis);
	}

	@Override
	public Optional<TierDecision> next(RequestFacts request, List<Candidate> candidates, List<Attempt> attempts,
			double remainingMillis, RandomGenerator random) {
		if (single(request)) {
			return Optional.empty();
		}
		ClassState state = state(request);
		double[] chances = new double[attempts.size()];
		state.learnLast(attempts, chances);
		int best = Math.max(0, BestAnswer.index(attempts));
		List<Candidate> sorted = sorted(candidates);
		EscalationPlan plan = state.plan(request, sorted);
		int last = indexOf(sorted, attempts.get(attempts.size() - 1).version());
		plan.solve(length(sorted, last, attempts), remainingMillis, this.parameters.ratingWaitMillis());
		int bestTier = indexOf(sorted, attempts.get(best).version());
		int chosen = EscalationPlan.STOP;
		double most = 0;
		for (int i = last + 1; last >= 0 && i < sorted.size(); i++) {
			double gain = plan.gain(Math.max(0, bestTier), chances[best], last, i);
			if (gain > most && plan.millis(i) <= remainingMillis) {
				most = gain;
				chosen = i;
			}
		}
		if (chosen == EscalationPlan.STOP) {
			state.given(request, attempts.get(best).version(), chances[best]);
			return Optional.empty();
		}
		return Optional.of(decision(state, plan, sorted, chosen, false, remainingMillis));
	}

	@Override
	public double ratingPatienceMillis(double remainingMillis) {
		return Math.min(remainingMillis, RATING_PATIENCE * this.parameters.ratingWaitMillis());
	}

	@Override
	public void learn(RequestFacts request, Attempt attempt, double weight) {
		if (single(request)) {
			state(request).learnSingle(request, attempt, weight);
		}
	}

	private int bestStart(RequestFacts request, EscalationPlan plan, List<Candidate> sorted, double remainingMillis) {
		double[] worth = new double[sorted.size()];
		for (int step = -1; step <= 1; step++) {
			double length = 1 + step * this.parameters.answerSpread();
			plan.solve(length, remainingMillis, this.parameters.ratingWaitMillis());
			for (int i = 0; i < worth.length; i++) {
				worth[i] += single(request) ? plan.singleWorth(i) : plan.startWorth(i);
			}
		}
		int best = -1;
		int fastest = 0;
		for (int i = 0; i < worth.length; i++) {
			fastest = (sorted.get(i).expectedMillis() < sorted.get(fastest).expectedMillis()) ? i : fastest;
			if (inTime(sorted.get(i), remainingMillis) && (best < 0 || worth[i] > worth[best])) {
				best = i;
			}
		}
		return (best >= 0) ? best : fastest;
	}

	private double length(List<Candidate> sorted, int last, List<Attempt> attempts) {
		if (last < 0) {
			return 1;
		}
		Candidate candidate = sorted.get(last);
		double expected = candidate.expectedMillis() - candidate.expectedFirstTokenMillis();
		double taken = attempts.get(attempts.size() - 1).millis() - candidate.expectedFirstTokenMillis();
		if (expected <= 0 || taken <= 0) {
			return 1;
		}
		return Math.pow(Math.max(1 / MOST_LENGTH, Math.min(MOST_LENGTH, taken / expected)),
				this.parameters.lengthTrust());
	}

	private int explored(ClassState state, List<Candidate> sorted, RandomGenerator random) {
		double draw = random.nextDouble();
		if (draw < this.parameters.driftShare()) {
			return random.nextInt(sorted.size());
		}
		if (draw >= this.parameters.driftShare() + this.parameters.explorationShare()) {
			return -1;
		}
		int least = -1;
		double leastEvidence = this.parameters.explorationFloor();
		for (int i = 0; i < sorted.size(); i++) {
			double evidence = state.evidence(sorted.get(i).version().id());
			if (evidence < leastEvidence) {
				leastEvidence = evidence;
				least = i;
			}
		}
		return least;
	}

	private TierDecision decision(ClassState state, EscalationPlan plan, List<Candidate> sorted, int chosen,
			boolean explored, double remainingMillis) {
		List<TierDecision.Considered> considered = new ArrayList<>(sorted.size());
		for (int i = 0; i < sorted.size(); i++) {
			VersionId id = sorted.get(i).version().id();
			double chance = plan.first[i];
			double weight = state.evidence(id) + this.parameters.priorStrength();
			double lower = chance - LOWER_BOUND_DEVIATIONS * Math.sqrt(chance * (1 - chance) / (weight + 1));
			considered.add(new TierDecision.Considered(id, chance, Math.max(0, lower), plan.expectedCost(i),
					note(i, chosen, explored, inTime(sorted.get(i), remainingMillis))));
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

	private boolean inTime(Candidate candidate, double remainingMillis) {
		return candidate.expectedMillis() <= remainingMillis * this.parameters.startSlack();
	}

	private ClassState state(RequestFacts request) {
		return this.classes.computeIfAbsent(request.requestClass(),
				(id) -> new ClassState(id, this.parameters, this.source, this.noise));
	}

	private static boolean single(RequestFacts request) {
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

	private static List<Candidate> sorted(List<Candidate> candidates) {
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
