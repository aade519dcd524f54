package io.sequoialink.decision.cascade;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

import io.sequoialink.decision.Attempt;
import io.sequoialink.decision.Candidate;
import io.sequoialink.decision.RequestFacts;
import io.sequoialink.model.ClassId;
import io.sequoialink.model.ModelVersion;
import io.sequoialink.model.VersionId;

/**
 * What is known of one class: evidence, the account of its target, and the usual size of
 * its requests and sessions. Thread-safe: every method holds the monitor of this object,
 * which is a leaf in the lock order.
 */
final class ClassState {

	/** Turns that a session is taken to have before any has been seen. */
	private static final double PRIOR_TURNS = 3;

	/** Share of missing ratings above which the rating service counts as down. */
	private static final double OUTAGE_SHARE = 0.7;

	/** Requests over which sizes are averaged. */
	private static final double SIZE_MEMORY = 200;

	private final ClassId id;

	private final CascadeParameters parameters;

	private final ChanceSource source;

	private final NoiseEstimate noise;

	private final RatingModel ratings;

	private final ChanceTable table = new ChanceTable();

	private final TargetAccount account;

	private double sessionStarts = 1;

	private double sessionTurns = PRIOR_TURNS;

	private double meanTokens;

	private double dearestCost;

	private double missingShare;

	ClassState(ClassId id, CascadeParameters parameters, ChanceSource source, NoiseEstimate noise) {
		this.id = id;
		this.parameters = parameters;
		this.source = source;
		this.noise = noise;
		this.ratings = new RatingModel(parameters.passMark(), noise);
		this.account = new TargetAccount(parameters);
	}

	/**
	 * Counts a request that starts.
	 * @param request the request
	 * @param dearest cost of the dearest version for 1,000 tokens, in micro-euros
	 */
	synchronized void arrived(RequestFacts request, long dearest) {
		double tokens = tokens(request);
		double cost = dearest * tokens / ModelVersion.TOKENS_PER_COST_UNIT;
		boolean none = this.meanTokens == 0;
		this.meanTokens += (tokens - this.meanTokens) / (none ? 1 : SIZE_MEMORY);
		this.dearestCost += (cost - this.dearestCost) / (none ? 1 : SIZE_MEMORY);
		if (request.sessionStart() || request.sessionVersion().isPresent()) {
			this.sessionTurns++;
			this.sessionStarts += request.sessionStart() ? 1 : 0;
		}
	}

	/**
	 * Fills a plan for a request.
	 * @param request the request
	 * @param candidates the candidates, cheapest first
	 * @return the plan, not solved yet
	 */
	synchronized EscalationPlan plan(RequestFacts request, List<Candidate> candidates) {
		int size = candidates.size();
		double price = this.account.price() * this.dearestCost;
		EscalationPlan plan = new EscalationPlan(size, price, this.missingShare);
		double answerTokens = this.parameters.answerShare() * request.maxAnswerTokens();
		double laterTurns = laterTurns(request);
		int[] indices = new int[size];
		for (int i = 0; i < size; i++) {
			Candidate candidate = candidates.get(i);
			double tokenCost = (double) candidate.version().cost() / ModelVersion.TOKENS_PER_COST_UNIT;
			indices[i] = this.table.index(candidate.version().id());
			plan.promptCost[i] = tokenCost * request.promptTokens();
			plan.answerCost[i] = tokenCost * answerTokens;
			plan.firstMillis[i] = candidate.expectedFirstTokenMillis();
			plan.answerMillis[i] = candidate.expectedMillis() - candidate.expectedFirstTokenMillis();
			rank(indices[i], i, size);
			plan.first[i] = first(candidate.version().id(), indices[i]);
			plan.bound[i] = laterTurns * (price * plan.first[i] - tokenCost * this.meanTokens);
		}
		for (int failed = 0; failed < size; failed++) {
			for (int next = failed + 1; next < size; next++) {
				plan.after[failed][next] = after(candidates.get(failed).version().id(), indices[failed],
						candidates.get(next).version().id(), indices[next], plan.first[next]);
			}
		}
		return plan;
	}

	/**
	 * Returns the weight of the evidence on a version's first attempts.
	 * @param version the version
	 * @return aged number of answers
	 */
	synchronized double evidence(VersionId version) {
		return this.table.weight(ChanceTable.FIRST, this.table.index(version));
	}

	/**
	 * Learns from an answer that was given without a choice, and puts it on the account.
	 * @param request the request
	 * @param attempt its only attempt
	 * @param weight answers that it stands for
	 */
	synchronized void learnSingle(RequestFacts request, Attempt attempt, double weight) {
		int index = this.table.index(attempt.version());
		double chance = learn(ChanceTable.FIRST, index, first(attempt.version(), index), attempt, weight);
		this.account.add(request.qualityTarget(), chance, weight);
		double usual = first(attempt.version(), index);
		this.account.foresee(request.qualityTarget(), usual,
				request.sessionVersion().isPresent() ? -weight : weight * laterTurns(request));
	}

	/**
	 * Learns from the last of several attempts.
	 * @param attempts all attempts, oldest first
	 * @param chances chances of the earlier attempts to be good; the last one's is set
	 */
	synchronized void learnLast(List<Attempt> attempts, double[] chances) {
		int last = attempts.size() - 1;
		for (int i = 0; i <= last; i++) {
			Attempt attempt = attempts.get(i);
			int index = this.table.index(attempt.version());
			double prior = prior(attempts, i);
			if (i < last) {
				chances[i] = chance(attempt, prior);
				continue;
			}
			int row = (i == 0) ? ChanceTable.FIRST : this.table.index(attempts.get(i - 1).version()) + 1;
			chances[i] = learn(row, index, prior, attempt, (i == 0) ? 1 : 1 - chances[i - 1]);
		}
	}

	/**
	 * Puts an answer on the account that was given after a choice.
	 * @param request the request
	 * @param version the version that gave it
	 * @param chance chance that it is good enough
	 */
	synchronized void given(RequestFacts request, VersionId version, double chance) {
		this.account.add(request.qualityTarget(), chance, 1);
		this.account.foresee(request.qualityTarget(), first(version, this.table.index(version)), laterTurns(request));
	}

	private double learn(int row, int index, double prior, Attempt attempt, double weight) {
		boolean missing = attempt.rating().isEmpty();
		this.missingShare += ((missing ? 1 : 0) - this.missingShare) / this.parameters.missingMemory();
		double chance = chance(attempt, prior);
		if (!missing) {
			this.noise.add(attempt.rating().getAsDouble());
			this.table.add(row, index, chance, weight, this.parameters.evidenceWindow());
		}
		return chance;
	}

	private double chance(Attempt attempt, double prior) {
		if (attempt.rating().isPresent()) {
			return this.ratings.chance(attempt.rating().getAsDouble(), prior);
		}
		boolean ratingsDown = this.missingShare > OUTAGE_SHARE;
		return ratingsDown ? prior * (1 - this.parameters.outageDiscount()) : prior;
	}

	private double prior(List<Attempt> attempts, int number) {
		Attempt attempt = attempts.get(number);
		int index = this.table.index(attempt.version());
		double first = first(attempt.version(), index);
		if (number == 0) {
			return first;
		}
		VersionId failed = attempts.get(number - 1).version();
		return after(failed, this.table.index(failed), attempt.version(), index, first);
	}

	private void rank(int index, int rank, int size) {
		double step = (size > 1) ? (double) rank / (size - 1) : 1;
		this.table.assume(index, this.parameters.priorCheapest()
				+ step * (this.parameters.priorDearest() - this.parameters.priorCheapest()));
	}

	private double first(VersionId version, int index) {
		OptionalDouble known = this.source.chance(this.id, Optional.empty(), version);
		return known.isPresent() ? known.getAsDouble()
				: this.table.mean(ChanceTable.FIRST, index, this.table.assumed(index), this.parameters.priorStrength());
	}

	private double after(VersionId failed, int failedIndex, VersionId version, int index, double first) {
		OptionalDouble known = this.source.chance(this.id, Optional.of(failed), version);
		return known.isPresent() ? known.getAsDouble() : this.table.mean(failedIndex + 1, index,
				first * this.parameters.failureDiscount(), this.parameters.priorStrength());
	}

	private double laterTurns(RequestFacts request) {
		return request.sessionStart() ? this.sessionTurns / this.sessionStarts - 1 : 0;
	}

	private double tokens(RequestFacts request) {
		return request.promptTokens() + this.parameters.answerShare() * request.maxAnswerTokens();
	}

}
