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
 * The life cycle of a request for a model's answer: admit, decide, dispatch, collect,
 * rate, bill, answer. Thread-safe; each request is confined to its worker thread, and a
 * bill is held in two places, or in the log, before the answer is returned.
 */
public final class ChatRouter {

	private static final Logger LOG = LoggerFactory.getLogger(ChatRouter.class);

	/** The longest time that an answer waits for a second copy of its bill. */
	private static final Duration BILL_PATIENCE = Duration.ofMillis(200);

	private static final Duration BILLS_RETRY = Duration.ofSeconds(5);

	/** Time before the deadline that is kept for giving the answer, in milliseconds. */
	private static final double ANSWER_MARGIN_MILLIS = 20;

	private final RouterContext context;

	private final ChatResolver resolver;

	private final VersionGate gate;

	private final AttemptRunner runner;

	private final RatingDesk ratings;

	public ChatRouter(RouterContext context) {
		this.context = context;
		LatencyTable latencies = new LatencyTable();
		this.gate = new VersionGate(context.catalogue(), context.brakes(), context.freshness());
		this.resolver = new ChatResolver(context.catalogue(), this.gate, context.sessions(), latencies,
				context.clock());
		this.runner = new AttemptRunner(context, this.gate, latencies);
		this.ratings = new RatingDesk(context.ratings(), context.ratingExecutor());
	}

	/**
	 * Routes a request and returns its whole answer.
	 * @param request the request
	 * @param sink takes the tokens of a streamed answer
	 * @return the whole answer, which is billed
	 * @throws RefusedException if the request gets no whole answer; it says what was done
	 */
	public ChatAnswer route(ChatRequest request, AnswerSink sink) throws RefusedException {
		long started = this.context.clock().monotonicMillis();
		Explanation explanation = this.context.explanations()
			.open(request.caller().id(), this.context.clock().wallMillis());
		String account = "unknown";
		try {
			account = this.resolver.name(request.caller());
			explanation.resolved(account, request.caller().requestClass().map(ClassId::value).orElse(""),
					this.context.catalogue().view().revision(), List.of());
			ResolvedChat chat = this.resolver.resolve(request);
			describe(chat, explanation);
			return admitted(chat, sink, explanation, started);
		}
		catch (RefusedException ex) {
			explanation.refused(ex.refusal());
			this.context.observer().refused(account, ex.refusal().code());
			throw ex;
		}
		catch (RuntimeException ex) {
			LOG.error(RouterEvents.UNEXPECTED_FAILURE, request.caller().id(), ex);
			Effect effect = (explanation.attemptCount() > 0) ? Effect.UNKNOWN : Effect.NONE;
			Refusal refusal = new Refusal(RefusalCode.INTERNAL, "the router failed", effect, Optional.empty());
			explanation.refused(refusal);
			throw new RefusedException(refusal);
		}
		finally {
			explanation.ended(this.context.clock().monotonicMillis() - started);
		}
	}

	private static void describe(ResolvedChat chat, Explanation explanation) {
		explanation.resolved(chat.account().id().value(), chat.requestClass().id().value(), chat.view().revision(),
				chat.candidates().stream().map((candidate) -> candidate.version().id().value()).toList());
	}

	private ChatAnswer admitted(ResolvedChat chat, AnswerSink sink, Explanation explanation, long started)
			throws RefusedException {
		requireAcceptingBills(this.context);
		Optional<Refusal> refusal = this.context.admissionPolicy()
			.admit(chat.account(), chat.facts(), this.context.clock().monotonicMillis());
		if (refusal.isPresent()) {
			throw new RefusedException(refusal.get());
		}
		long tokens = 0;
		try {
			List<AttemptAnswer> answers = new ArrayList<>();
			AttemptAnswer best = cascade(chat, sink, explanation, answers);
			tokens = answers.stream().mapToLong(AttemptAnswer::tokens).sum();
			ChatAnswer answer = bill(chat, best, answers, explanation);
			double total = (this.context.clock().monotonicMillis() - started) / 1e3;
			double first = chat.request().streamed() ? best.firstTokenMillis() / 1e3 : total;
			this.context.observer()
				.answered(chat.account().id(), chat.requestClass().id().value(), first, total, answer.cost());
			return answer;
		}
		finally {
			long now = this.context.clock().monotonicMillis();
			this.context.admissionPolicy().release(chat.account(), tokens, now - started, now);
		}
	}

	static void requireAcceptingBills(RouterContext context) throws RefusedException {
		if (!context.bills().accepting()) {
			throw new RefusedException(
					Refusal.notRun(RefusalCode.LOG_UNAVAILABLE, "this host holds as many unrecorded bills as it may")
						.retryAfter(BILLS_RETRY));
		}
	}

	private AttemptAnswer cascade(ResolvedChat chat, AnswerSink sink, Explanation explanation,
			List<AttemptAnswer> answers) throws RefusedException {
		TierDecision decision = this.context.cascadePolicy()
			.start(chat.facts(), chat.candidates(), remainingMillis(chat), this.context.random());
		List<Attempt> judged = new ArrayList<>();
		while (true) {
			explanation.decided(decision);
			ModelVersion version = place(chat, decision.version(), explanation);
			AttemptAnswer answer = runTier(chat, version, sink, explanation, answers);
			if (answer == null) {
				return answers.get(BestAnswer.index(judged));
			}
			answers.add(answer);
			CompletableFuture<OptionalDouble> rating = rate(chat, answer, explanation);
			if (!mayBeTakenBack(chat)) {
				return answer;
			}
			if (judged.isEmpty() && isDearest(chat, decision.version())) {
				learnLater(chat, decision.version(), answer, rating);
				return answer;
			}
			judged.add(judge(decision.version(), answer, rating, chat));
			Optional<TierDecision> next = this.context.cascadePolicy()
				.next(chat.facts(), chat.candidates(), judged, remainingMillis(chat), this.context.random());
			if (next.isEmpty()) {
				return answers.get(BestAnswer.index(judged));
			}
			decision = next.get();
		}
	}

	/**
	 * Lets the policy learn from the only answer of a request, which nothing could
	 * replace and which is given at once.
	 * @param chat the request
	 * @param chosen the version that the policy chose
	 * @param answer the answer
	 * @param rating its rating, once it arrives
	 */
	private void learnLater(ResolvedChat chat, VersionId chosen, AttemptAnswer answer,
			CompletableFuture<OptionalDouble> rating) {
		rating.thenAccept((value) -> this.context.cascadePolicy()
			.next(chat.facts(), chat.candidates(), List.of(withRating(answer.attempt(), chosen, value)),
					remainingMillis(chat), this.context.random()));
	}

	private static boolean isDearest(ResolvedChat chat, VersionId version) {
		return chat.candidates()
			.stream()
			.map(Candidate::version)
			.noneMatch((other) -> other.cost() > costOf(chat, version));
	}

	private static long costOf(ResolvedChat chat, VersionId version) {
		return version(chat, version).cost();
	}

	private AttemptAnswer runTier(ResolvedChat chat, ModelVersion version, AnswerSink sink, Explanation explanation,
			List<AttemptAnswer> answers) throws RefusedException {
		AnswerSink tierSink = chat.request().streamed() ? sink : AnswerSink.NONE;
		try {
			return this.runner.run(chat, version, tierSink, head(chat, version), explanation);
		}
		catch (RefusedException ex) {
			if (answers.isEmpty()) {
				throw ex;
			}
			explanation.step("kept_earlier_answer: " + ex.refusal().reason());
			return null;
		}
	}

	private static boolean mayBeTakenBack(ResolvedChat chat) {
		return !chat.request().streamed() && chat.session().isEmpty();
	}

	private ModelVersion place(ResolvedChat chat, VersionId chosen, Explanation explanation) {
		VersionId placed = this.context.rolloutPolicy()
			.selectVersion(chat.view(), chat.account(), chat.facts(), chosen, this.context.clock().monotonicMillis());
		Optional<ModelVersion> candidate = chat.view()
			.version(placed)
			.filter((version) -> !placed.equals(chosen) && this.gate.check(chat.account(), placed).isEmpty());
		candidate.ifPresent((version) -> explanation.step("placed_on_candidate: " + placed));
		return candidate.orElseGet(() -> version(chat, chosen));
	}

	private static ModelVersion version(ResolvedChat chat, VersionId id) {
		return chat.candidates()
			.stream()
			.map(Candidate::version)
			.filter((version) -> version.id().equals(id))
			.findFirst()
			.orElseThrow(() -> new IllegalStateException("the cascade policy chose " + id + ", which is not allowed"));
	}

	private AnswerHead head(ResolvedChat chat, ModelVersion version) {
		Optional<String> token = chat.session().map(this.context.sessions()::seal);
		if (token.isEmpty() && chat.facts().sessionStart()) {
			token = Optional.of(this.context.sessions()
				.seal(new SessionTokens.Session(chat.facts().id().value(), chat.account().id(), version.id())));
		}
		return new AnswerHead(chat.facts().id(), version.id(), token);
	}

	private CompletableFuture<OptionalDouble> rate(ResolvedChat chat, AttemptAnswer answer, Explanation explanation) {
		this.context.rolloutPolicy()
			.recordOutcome(chat.facts(), answer.attempt(), this.context.clock().monotonicMillis());
		String prompt = chat.request().messages().get(chat.request().messages().size() - 1).content();
		CompletableFuture<OptionalDouble> rating = this.ratings.rate(new RatingService.RatedAnswer(chat.facts().id(),
				answer.index(), chat.requestClass().id(), prompt, answer.text()));
		return rating.thenApply((value) -> {
			Attempt attempt = withRating(answer.attempt(), answer.attempt().version(), value);
			explanation.rated(answer.index(), attempt);
			this.context.cascadePolicy().learn(chat.facts(), attempt, 1);
			this.context.rolloutPolicy().recordOutcome(chat.facts(), attempt, this.context.clock().monotonicMillis());
			return value;
		});
	}

	private Attempt judge(VersionId chosen, AttemptAnswer answer, CompletableFuture<OptionalDouble> rating,
			ResolvedChat chat) {
		double patience = this.context.cascadePolicy().maxRatingWaitMillis(remainingMillis(chat));
		double wait = Math.max(0, patience - ANSWER_MARGIN_MILLIS);
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

	private ChatAnswer bill(ResolvedChat chat, AttemptAnswer best, List<AttemptAnswer> answers,
			Explanation explanation) {
		long tokens = answers.stream().mapToLong(AttemptAnswer::tokens).sum();
		long cost = answers.stream().mapToLong(AttemptAnswer::cost).sum();
		Bill bill = new Bill(chat.facts().id(), chat.account().id(), best.version().id().value(), tokens, cost,
				this.context.clock().wallMillis());
		BillJournal.Safety safety = this.context.bills().record(bill, BILL_PATIENCE);
		if (safety == BillJournal.Safety.LOCAL) {
			LOG.debug(RouterEvents.BILL_LOCAL, chat.facts().id());
		}
		explanation.billed(bill);
		return new ChatAnswer(head(chat, best.version()), best.text(), best.result().promptTokens(),
				best.result().answerTokens(), best.result().finishReason().orElse("stop"), cost);
	}

	private double remainingMillis(ResolvedChat chat) {
		return chat.facts().deadlineMillis() - this.context.clock().monotonicMillis();
	}

}
