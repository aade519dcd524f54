package io.sequoialink.router;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.sequoialink.decision.Attempt;
import io.sequoialink.decision.Candidate;
import io.sequoialink.decision.TierDecision;
import io.sequoialink.decision.cascade.BestAnswer;
import io.sequoialink.ledger.BillJournal;
import io.sequoialink.model.Bill;
import io.sequoialink.model.ClassId;
import io.sequoialink.model.Effect;
import io.sequoialink.model.ModelVersion;
import io.sequoialink.model.Refusal;
import io.sequoialink.model.RefusalCode;
import io.sequoialink.model.VersionId;
import io.sequoialink.remote.RatingService;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Processes requests for the answer of a language model: admission, choice of the
 * version, attempts, rating and billing. An answer is returned once its bill is stored in
 * the log or on a second host, or after a short wait with the bill on this host only.
 * Thread-safe; each request runs on its own worker thread.
 */
public final class ChatRouter {

	private static final Logger LOG = LoggerFactory.getLogger(ChatRouter.class);

	/** Maximum time for which an answer is delayed until its bill has a second copy. */
	private static final Duration MAX_BILL_WAIT = Duration.ofMillis(200);

	private static final Duration BILL_BUFFER_RETRY_AFTER = Duration.ofSeconds(5);

	/** Time reserved before the deadline for sending the response, in milliseconds. */
	private static final double RESPONSE_MARGIN_MILLIS = 20;

	private final RouterContext context;

	private final ChatResolver resolver;

	private final VersionEligibility eligibility;

	private final AttemptRunner runner;

	private final AsyncRatingClient ratings;

	public ChatRouter(RouterContext context) {
		this.context = context;
		LatencyEstimates latencies = new LatencyEstimates();
		this.eligibility = new VersionEligibility(context.catalogue(), context.brakes(), context.freshness());
		this.resolver = new ChatResolver(context.catalogue(), this.eligibility, context.sessions(), latencies,
				context.clock());
		this.runner = new AttemptRunner(context, this.eligibility, latencies);
		this.ratings = new AsyncRatingClient(context.ratings(), context.ratingExecutor());
	}

	/**
	 * Processes a request and returns its complete answer.
	 * @param request the request
	 * @param sink receives the tokens of a streamed answer
	 * @return the complete answer, already billed
	 * @throws RefusedException if there is no complete answer; its effect tells whether
	 * an attempt may have been run
	 */
	public ChatAnswer route(ChatRequest request, AnswerSink sink) throws RefusedException {
		long startMillis = this.context.clock().monotonicMillis();
		Explanation explanation = this.context.explanations()
			.create(request.caller().id(), this.context.clock().wallMillis());
		String account = "unknown";
		try {
			account = this.resolver.accountName(request.caller());
			explanation.recordResolution(account, request.caller().requestClass().map(ClassId::value).orElse(""),
					this.context.catalogue().view().revision(), List.of());
			ResolvedChat chat = this.resolver.resolve(request);
			recordResolution(chat, explanation);
			return admitAndRun(chat, sink, explanation, startMillis);
		}
		catch (RefusedException ex) {
			explanation.recordRefusal(ex.refusal());
			this.context.observer().refused(account, ex.refusal().code());
			throw ex;
		}
		catch (RuntimeException ex) {
			LOG.error(RouterEvents.UNEXPECTED_FAILURE, request.caller().id(), ex);
			Effect effect = (explanation.attemptCount() > 0) ? Effect.UNKNOWN : Effect.NONE;
			Refusal refusal = new Refusal(RefusalCode.INTERNAL, "the router failed", effect, Optional.empty());
			explanation.recordRefusal(refusal);
			throw new RefusedException(refusal);
		}
		finally {
			explanation.recordEnd(this.context.clock().monotonicMillis() - startMillis);
		}
	}

	private static void recordResolution(ResolvedChat chat, Explanation explanation) {
		explanation.recordResolution(chat.account().id().value(), chat.requestClass().id().value(),
				chat.view().revision(),
				chat.candidates().stream().map((candidate) -> candidate.version().id().value()).toList());
	}

	private ChatAnswer admitAndRun(ResolvedChat chat, AnswerSink sink, Explanation explanation, long startMillis)
			throws RefusedException {
		checkBillBuffer(this.context);
		Optional<Refusal> refusal = this.context.admissionPolicy()
			.admit(chat.account(), chat.facts(), this.context.clock().monotonicMillis());
		if (refusal.isPresent()) {
			throw new RefusedException(refusal.get());
		}
		long tokens = 0;
		try {
			List<AttemptAnswer> answers = new ArrayList<>();
			AttemptAnswer best = runCascade(chat, sink, explanation, answers);
			tokens = answers.stream().mapToLong(AttemptAnswer::tokens).sum();
			ChatAnswer answer = recordBill(chat, best, answers, explanation);
			double totalSeconds = (this.context.clock().monotonicMillis() - startMillis) / 1e3;
			double firstTokenSeconds = chat.request().streamed() ? best.firstTokenMillis() / 1e3 : totalSeconds;
			this.context.observer()
				.answered(chat.account().id(), chat.requestClass().id().value(), firstTokenSeconds, totalSeconds,
						answer.cost());
			return answer;
		}
		finally {
			long now = this.context.clock().monotonicMillis();
			this.context.admissionPolicy().release(chat.account(), tokens, now - startMillis, now);
		}
	}

	static void checkBillBuffer(RouterContext context) throws RefusedException {
		if (!context.bills().accepting()) {
			throw new RefusedException(
					Refusal.notRun(RefusalCode.LOG_UNAVAILABLE, "this host holds as many unrecorded bills as it may")
						.retryAfter(BILL_BUFFER_RETRY_AFTER));
		}
	}

	private AttemptAnswer runCascade(ResolvedChat chat, AnswerSink sink, Explanation explanation,
			List<AttemptAnswer> answers) throws RefusedException {
		TierDecision decision = this.context.cascadePolicy()
			.start(chat.facts(), chat.candidates(), remainingMillis(chat), this.context.newRandom());
		List<Attempt> evaluated = new ArrayList<>();
		while (true) {
			explanation.recordDecision(decision);
			ModelVersion version = selectVersion(chat, decision.version(), explanation);
			AttemptAnswer answer = runTier(chat, version, sink, explanation, answers);
			if (answer == null) {
				return answers.get(BestAnswer.index(evaluated));
			}
			answers.add(answer);
			CompletableFuture<OptionalDouble> rating = requestRating(chat, answer, explanation);
			if (!isReplaceable(chat)) {
				return answer;
			}
			if (evaluated.isEmpty() && isMostExpensive(chat, decision.version())) {
				learnWhenRated(chat, decision.version(), answer, rating);
				return answer;
			}
			evaluated.add(awaitRating(decision.version(), answer, rating, chat));
			Optional<TierDecision> next = this.context.cascadePolicy()
				.next(chat.facts(), chat.candidates(), evaluated, remainingMillis(chat), this.context.newRandom());
			if (next.isEmpty()) {
				return answers.get(BestAnswer.index(evaluated));
			}
			decision = next.get();
		}
	}

	/**
	 * Passes the only answer of a request to the cascade policy when its rating arrives.
	 * The answer comes from the most expensive version, so no other version could replace
	 * it and it is returned without waiting for the rating.
	 * @param chat the request
	 * @param chosen the version that the policy chose
	 * @param answer the answer
	 * @param rating completes with the rating, empty if there is none
	 */
	private void learnWhenRated(ResolvedChat chat, VersionId chosen, AttemptAnswer answer,
			CompletableFuture<OptionalDouble> rating) {
		rating.thenAccept((value) -> this.context.cascadePolicy()
			.next(chat.facts(), chat.candidates(), List.of(withRating(answer.attempt(), chosen, value)),
					remainingMillis(chat), this.context.newRandom()));
	}

	private static boolean isMostExpensive(ResolvedChat chat, VersionId version) {
		return chat.candidates()
			.stream()
			.map(Candidate::version)
			.noneMatch((other) -> other.cost() > costOf(chat, version));
	}

	private static long costOf(ResolvedChat chat, VersionId version) {
		return allowedVersion(chat, version).cost();
	}

	private AttemptAnswer runTier(ResolvedChat chat, ModelVersion version, AnswerSink sink, Explanation explanation,
			List<AttemptAnswer> answers) throws RefusedException {
		AnswerSink tierSink = chat.request().streamed() ? sink : AnswerSink.NONE;
		try {
			return this.runner.run(chat, version, tierSink, metadata(chat, version), explanation);
		}
		catch (RefusedException ex) {
			if (answers.isEmpty()) {
				throw ex;
			}
			explanation.recordStep("kept_earlier_answer: " + ex.refusal().reason());
			return null;
		}
	}

	private static boolean isReplaceable(ResolvedChat chat) {
		return !chat.request().streamed() && chat.session().isEmpty();
	}

	private ModelVersion selectVersion(ResolvedChat chat, VersionId chosen, Explanation explanation) {
		VersionId selected = this.context.rolloutPolicy()
			.selectVersion(chat.view(), chat.account(), chat.facts(), chosen, this.context.clock().monotonicMillis());
		Optional<ModelVersion> candidate = chat.view()
			.version(selected)
			.filter((version) -> !selected.equals(chosen)
					&& this.eligibility.check(chat.account(), selected).isEmpty());
		candidate.ifPresent((version) -> explanation.recordStep("placed_on_candidate: " + selected));
		return candidate.orElseGet(() -> allowedVersion(chat, chosen));
	}

	private static ModelVersion allowedVersion(ResolvedChat chat, VersionId id) {
		return chat.candidates()
			.stream()
			.map(Candidate::version)
			.filter((version) -> version.id().equals(id))
			.findFirst()
			.orElseThrow(() -> new IllegalStateException("the cascade policy chose " + id + ", which is not allowed"));
	}

	private AnswerMetadata metadata(ResolvedChat chat, ModelVersion version) {
		Optional<String> token = chat.session().map(this.context.sessions()::sign);
		if (token.isEmpty() && chat.facts().sessionStart()) {
			token = Optional.of(this.context.sessions()
				.sign(new SessionTokens.Session(chat.facts().id().value(), chat.account().id(), version.id())));
		}
		return new AnswerMetadata(chat.facts().id(), version.id(), token);
	}

	private CompletableFuture<OptionalDouble> requestRating(ResolvedChat chat, AttemptAnswer answer,
			Explanation explanation) {
		this.context.rolloutPolicy()
			.recordOutcome(chat.facts(), answer.attempt(), this.context.clock().monotonicMillis());
		String prompt = chat.request().messages().get(chat.request().messages().size() - 1).content();
		CompletableFuture<OptionalDouble> rating = this.ratings.rate(new RatingService.RatedAnswer(chat.facts().id(),
				answer.index(), chat.requestClass().id(), prompt, answer.text()));
		return rating.thenApply((value) -> {
			Attempt attempt = withRating(answer.attempt(), answer.attempt().version(), value);
			explanation.replaceAttempt(answer.index(), attempt);
			this.context.cascadePolicy().learn(chat.facts(), attempt, 1);
			this.context.rolloutPolicy().recordOutcome(chat.facts(), attempt, this.context.clock().monotonicMillis());
			return value;
		});
	}

	private Attempt awaitRating(VersionId chosen, AttemptAnswer answer, CompletableFuture<OptionalDouble> rating,
			ResolvedChat chat) {
		double maxWait = this.context.cascadePolicy().maxRatingWaitMillis(remainingMillis(chat));
		double wait = Math.max(0, maxWait - RESPONSE_MARGIN_MILLIS);
		OptionalDouble value = OptionalDouble.empty();
		try {
			value = rating.get((long) wait, TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException | ExecutionException ex) {
			LOG.debug(RouterEvents.RATING_UNAVAILABLE, ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return withRating(answer.attempt(), chosen, value);
	}

	private static Attempt withRating(Attempt attempt, VersionId version, OptionalDouble rating) {
		return new Attempt(version, attempt.server(), attempt.effect(), rating, attempt.outcome(), attempt.millis());
	}

	private ChatAnswer recordBill(ResolvedChat chat, AttemptAnswer best, List<AttemptAnswer> answers,
			Explanation explanation) {
		long tokens = answers.stream().mapToLong(AttemptAnswer::tokens).sum();
		long cost = answers.stream().mapToLong(AttemptAnswer::cost).sum();
		Bill bill = new Bill(chat.facts().id(), chat.account().id(), best.version().id().value(), tokens, cost,
				this.context.clock().wallMillis());
		BillJournal.Safety safety = this.context.bills().record(bill, MAX_BILL_WAIT);
		if (safety == BillJournal.Safety.LOCAL) {
			LOG.debug(RouterEvents.BILL_LOCAL, chat.facts().id());
		}
		explanation.recordBill(bill);
		return new ChatAnswer(metadata(chat, best.version()), best.text(), best.result().promptTokens(),
				best.result().answerTokens(), best.result().finishReason().orElse("stop"), cost);
	}

	private double remainingMillis(ResolvedChat chat) {
		return chat.facts().deadlineMillis() - this.context.clock().monotonicMillis();
	}

}
