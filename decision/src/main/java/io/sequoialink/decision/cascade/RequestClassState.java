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
 * Learnt state of one request class: success probabilities of the versions, the price
 * controller of its quality target, and the mean size of its requests and sessions.
 * Thread-safe: every method that is not private holds the monitor of this object, which
 * is a leaf in the lock order.
 */
final class RequestClassState {

	/** Number of turns assumed for a session before any session has been seen. */
	private static final double PRIOR_TURNS = 3;

	/** Share of missing ratings above which the rating service is assumed to be down. */
	private static final double OUTAGE_SHARE = 0.7;

	/** Number of requests over which the mean request size is averaged. */
	private static final double SIZE_WINDOW = 200;

	private final ClassId id;

	private final CascadeParameters parameters;

	private final ProbabilitySource probabilitySource;

	private final NoiseEstimate noise;

	private final RatingModel ratingModel;

	private final ProbabilityTable probabilities = new ProbabilityTable();

	private final QualityPriceController priceController;

	private double sessionStarts = 1;

	private double sessionTurns = PRIOR_TURNS;

	private double meanTokens;

	private double meanHighestCost;

	private double missingShare;

	RequestClassState(ClassId id, CascadeParameters parameters, ProbabilitySource source, NoiseEstimate noise) {
		this.id = id;
		this.parameters = parameters;
		this.probabilitySource = source;
		this.noise = noise;
		this.ratingModel = new RatingModel(parameters.passMark(), noise);
		this.priceController = new QualityPriceController(parameters);
	}

	/**
	 * Updates the mean sizes with a new request.
	 * @param request the request
	 * @param highestCost cost of the most expensive version for 1,000 tokens, in
	 * micro-euros
	 */
	synchronized void recordArrival(RequestFacts request, long highestCost) {
		double tokens = expectedTokens(request);
		double cost = highestCost * tokens / ModelVersion.TOKENS_PER_COST_UNIT;
		boolean first = this.meanTokens == 0;
		this.meanTokens += (tokens - this.meanTokens) / (first ? 1 : SIZE_WINDOW);
		this.meanHighestCost += (cost - this.meanHighestCost) / (first ? 1 : SIZE_WINDOW);
		if (request.sessionStart() || request.sessionVersion().isPresent()) {
			this.sessionTurns++;
			this.sessionStarts += request.sessionStart() ? 1 : 0;
		}
	}

	/**
	 * Creates the escalation plan of a request from the current estimates.
	 * @param request the request
	 * @param candidates the candidates, cheapest first
	 * @return the plan, on which {@link EscalationPlan#solve} must still be called
	 */
	synchronized EscalationPlan createPlan(RequestFacts request, List<Candidate> candidates) {
		int size = candidates.size();
		double price = this.priceController.price() * this.meanHighestCost;
		EscalationPlan plan = new EscalationPlan(size, price, this.missingShare);
		double answerTokens = this.parameters.answerShare() * request.maxAnswerTokens();
		double laterTurns = expectedLaterTurns(request);
		int[] indices = new int[size];
		for (int i = 0; i < size; i++) {
			Candidate candidate = candidates.get(i);
			double tokenCost = (double) candidate.version().cost() / ModelVersion.TOKENS_PER_COST_UNIT;
			indices[i] = this.probabilities.indexOf(candidate.version().id());
			plan.promptCost[i] = tokenCost * request.promptTokens();
			plan.answerCost[i] = tokenCost * answerTokens;
			plan.firstTokenMillis[i] = candidate.expectedFirstTokenMillis();
			plan.generationMillis[i] = candidate.expectedMillis() - candidate.expectedFirstTokenMillis();
			setPriorByRank(indices[i], i, size);
			plan.firstProbability[i] = firstProbability(candidate.version().id(), indices[i]);
			plan.sessionValue[i] = laterTurns * (price * plan.firstProbability[i] - tokenCost * this.meanTokens);
		}
		for (int failed = 0; failed < size; failed++) {
			for (int next = failed + 1; next < size; next++) {
				plan.probabilityAfterFailure[failed][next] = probabilityAfterFailure(
						candidates.get(failed).version().id(), indices[failed], candidates.get(next).version().id(),
						indices[next], plan.firstProbability[next]);
			}
		}
		return plan;
	}

	/**
	 * Returns how many rated first attempts of a version the estimates are based on.
	 * @param version the version
	 * @return number of answers, exponentially decayed
	 */
	synchronized double evidenceWeight(VersionId version) {
		return this.probabilities.weight(ProbabilityTable.FIRST_ATTEMPT, this.probabilities.indexOf(version));
	}

	/**
	 * Updates the estimates and the price from an answer that could not be escalated.
	 * @param request the request
	 * @param attempt its only attempt
	 * @param weight number of answers that it represents
	 */
	synchronized void learnFinalAnswer(RequestFacts request, Attempt attempt, double weight) {
		int index = this.probabilities.indexOf(attempt.version());
		double probability = learn(ProbabilityTable.FIRST_ATTEMPT, index, firstProbability(attempt.version(), index),
				attempt, weight);
		this.priceController.recordAnswer(request.qualityTarget(), probability, weight);
		double expected = firstProbability(attempt.version(), index);
		this.priceController.addExpectedAnswers(request.qualityTarget(), expected,
				request.sessionVersion().isPresent() ? -weight : weight * expectedLaterTurns(request));
	}

	/**
	 * Updates the estimates from the last attempt of a request and computes the
	 * probability that each of its answers is good.
	 * @param attempts all attempts, oldest first
	 * @param answerProbabilities receives the probability for each attempt; as long as
	 * the list
	 */
	synchronized void learnLastAttempt(List<Attempt> attempts, double[] answerProbabilities) {
		int last = attempts.size() - 1;
		for (int i = 0; i <= last; i++) {
			Attempt attempt = attempts.get(i);
			int index = this.probabilities.indexOf(attempt.version());
			double prior = prior(attempts, i);
			if (i < last) {
				answerProbabilities[i] = probability(attempt, prior);
				continue;
			}
			int row = (i == 0) ? ProbabilityTable.FIRST_ATTEMPT
					: this.probabilities.indexOf(attempts.get(i - 1).version()) + 1;
			answerProbabilities[i] = learn(row, index, prior, attempt, (i == 0) ? 1 : 1 - answerProbabilities[i - 1]);
		}
	}

	/**
	 * Updates the price from an answer that was returned to the client after the
	 * escalation decision.
	 * @param request the request
	 * @param version the version that produced the answer
	 * @param probability probability that the answer is good enough
	 */
	synchronized void recordReturnedAnswer(RequestFacts request, VersionId version, double probability) {
		this.priceController.recordAnswer(request.qualityTarget(), probability, 1);
		this.priceController.addExpectedAnswers(request.qualityTarget(),
				firstProbability(version, this.probabilities.indexOf(version)), expectedLaterTurns(request));
	}

	private double learn(int row, int index, double prior, Attempt attempt, double weight) {
		boolean missing = attempt.rating().isEmpty();
		this.missingShare += ((missing ? 1 : 0) - this.missingShare) / this.parameters.missingMemory();
		double probability = probability(attempt, prior);
		if (!missing) {
			this.noise.add(attempt.rating().getAsDouble());
			this.probabilities.add(row, index, probability, weight, this.parameters.evidenceWindow());
		}
		return probability;
	}

	private double probability(Attempt attempt, double prior) {
		if (attempt.rating().isPresent()) {
			return this.ratingModel.probability(attempt.rating().getAsDouble(), prior);
		}
		boolean ratingServiceDown = this.missingShare > OUTAGE_SHARE;
		return ratingServiceDown ? prior * (1 - this.parameters.outageDiscount()) : prior;
	}

	private double prior(List<Attempt> attempts, int last) {
		Attempt attempt = attempts.get(last);
		int index = this.probabilities.indexOf(attempt.version());
		double first = firstProbability(attempt.version(), index);
		if (last == 0) {
			return first;
		}
		VersionId failed = attempts.get(last - 1).version();
		return probabilityAfterFailure(failed, this.probabilities.indexOf(failed), attempt.version(), index, first);
	}

	private void setPriorByRank(int index, int rank, int size) {
		double step = (size > 1) ? (double) rank / (size - 1) : 1;
		this.probabilities.setPrior(index, this.parameters.priorCheapest()
				+ step * (this.parameters.priorDearest() - this.parameters.priorCheapest()));
	}

	private double firstProbability(VersionId version, int index) {
		OptionalDouble known = this.probabilitySource.successProbability(this.id, Optional.empty(), version);
		return known.isPresent() ? known.getAsDouble()
				: this.probabilities.posteriorMean(ProbabilityTable.FIRST_ATTEMPT, index,
						this.probabilities.prior(index), this.parameters.priorStrength());
	}

	private double probabilityAfterFailure(VersionId failed, int failedIndex, VersionId version, int index,
			double first) {
		OptionalDouble known = this.probabilitySource.successProbability(this.id, Optional.of(failed), version);
		return known.isPresent() ? known.getAsDouble() : this.probabilities.posteriorMean(failedIndex + 1, index,
				first * this.parameters.failureDiscount(), this.parameters.priorStrength());
	}

	private double expectedLaterTurns(RequestFacts request) {
		return request.sessionStart() ? this.sessionTurns / this.sessionStarts - 1 : 0;
	}

	private double expectedTokens(RequestFacts request) {
		return request.promptTokens() + this.parameters.answerShare() * request.maxAnswerTokens();
	}

}
