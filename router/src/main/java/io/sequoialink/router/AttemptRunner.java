package io.sequoialink.router;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

import io.sequoialink.decision.Attempt;
import io.sequoialink.decision.RequestFacts;
import io.sequoialink.decision.RetryPolicy;
import io.sequoialink.decision.ServerView;
import io.sequoialink.model.BackendServer;
import io.sequoialink.model.Brake;
import io.sequoialink.model.Effect;
import io.sequoialink.model.ModelVersion;
import io.sequoialink.model.Refusal;
import io.sequoialink.model.RefusalCode;
import io.sequoialink.model.ServerId;
import io.sequoialink.model.ServerKind;
import io.sequoialink.model.VersionId;
import io.sequoialink.remote.BackendException;
import io.sequoialink.remote.EngineClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs one version for a request: chooses servers, retries failed attempts and resumes
 * cut streams. Thread-safe; one call is confined to its worker thread. Asks the version
 * gate directly before each dispatch.
 */
final class AttemptRunner {

	private static final Logger LOG = LoggerFactory.getLogger(AttemptRunner.class);

	private static final Duration RETRY_LATER = Duration.ofSeconds(1);

	private static final Duration TRIAL_POLL = Duration.ofMillis(50);

	private final RouterContext context;

	private final VersionGate gate;

	private final LatencyTable latencies;

	AttemptRunner(RouterContext context, VersionGate gate, LatencyTable latencies) {
		this.context = context;
		this.gate = gate;
		this.latencies = latencies;
	}

	/**
	 * Runs a version until it gives a whole answer.
	 * @param chat the request
	 * @param version the version
	 * @param sink takes the tokens
	 * @param head what is known of the answer
	 * @param explanation takes the attempts
	 * @return the whole answer
	 * @throws RefusedException if no whole answer can be had; it says what was done
	 */
	AttemptAnswer run(ResolvedChat chat, ModelVersion version, AnswerSink sink, AnswerHead head,
			Explanation explanation) throws RefusedException {
		TokenCollector collector = new TokenCollector(sink, head, this.context.clock());
		Set<ServerId> avoided = new HashSet<>();
		Effect effect = Effect.NONE;
		Optional<BackendServer> resumeAt = Optional.empty();
		while (true) {
			BackendServer server = (resumeAt.isPresent()) ? resumeAt.get()
					: chooseServer(chat, version.id(), avoided, effect);
			requireAdmitted(chat, version.id(), effect, resumeAt.isPresent());
			awaitCrashGuard(chat.facts(), effect);
			try {
				return dispatch(chat, version, server, collector, explanation);
			}
			catch (BackendException ex) {
				effect = worse(effect, ex.effect());
				avoided.add(server.id());
				List<Attempt> attempts = explanation.snapshot().attempts();
				pauseBeforeRetry(chat.facts(), attempts, effect, ex);
				resumeAt = (collector.tokens() > 0) ? Optional.of(server) : Optional.empty();
			}
		}
	}

	private BackendServer chooseServer(ResolvedChat chat, VersionId version, Set<ServerId> avoided, Effect effect)
			throws RefusedException {
		List<ServerView> views = this.context.servers()
			.offering(ServerKind.ENGINE, version.value(), chat.facts().prefixHash());
		if (this.context.crashGuard().requiresExclusiveServer(chat.facts(), this.context.clock().monotonicMillis())) {
			views = idleIfAny(views);
		}
		return this.context.serverPolicy()
			.choose(chat.facts(), views, avoided, this.context.random())
			.flatMap(this.context.servers()::server)
			.orElseThrow(() -> new RefusedException(new Refusal(RefusalCode.BACKEND_FAILED,
					"no backend server that offers " + version + " can be used", effect, Optional.of(RETRY_LATER))));
	}

	private static List<ServerView> idleIfAny(List<ServerView> views) {
		List<ServerView> idle = views.stream().filter((view) -> view.inFlight() + view.reportedRunning() == 0).toList();
		return idle.isEmpty() ? views : idle;
	}

	private void requireAdmitted(ResolvedChat chat, VersionId version, Effect effect, boolean resumed)
			throws RefusedException {
		Optional<Refusal> refusal = resumed ? Optional.empty() : this.gate.check(chat.account(), version);
		if (refusal.isPresent()) {
			throw withEffect(refusal.get(), effect);
		}
	}

	/**
	 * Waits while another suspect is tried; a braked request is refused at once.
	 * @param facts the request
	 * @param effect what its earlier attempts did
	 * @throws RefusedException if it may not be dispatched in time
	 */
	private void awaitCrashGuard(RequestFacts facts, Effect effect) throws RefusedException {
		while (true) {
			Optional<Refusal> refusal = this.context.crashGuard()
				.beforeDispatch(facts, this.context.clock().monotonicMillis());
			if (refusal.isEmpty()) {
				return;
			}
			boolean waits = refusal.get().code() == RefusalCode.OVERLOADED;
			if (!waits || remaining(facts).compareTo(TRIAL_POLL) <= 0) {
				throw withEffect(refusal.get(), effect);
			}
			sleep(TRIAL_POLL.toMillis(), effect);
		}
	}

	private static RefusedException withEffect(Refusal told, Effect effect) {
		return new RefusedException(new Refusal(told.code(), told.reason(), effect, told.retryAfter()));
	}

	private AttemptAnswer dispatch(ResolvedChat chat, ModelVersion version, BackendServer server,
			TokenCollector collector, Explanation explanation) throws BackendException {
		int index = explanation.attemptCount();
		long started = this.context.clock().monotonicMillis();
		EngineClient.EngineRequest request = new EngineClient.EngineRequest(chat.facts().id(), index, version.id(),
				chat.request().messages(), chat.request().maxTokens(), chat.account().priority(),
				remaining(chat.facts()), collector.tokens(), chat.requestClass().id(), chat.account().id());
		this.context.servers().started(server.id());
		this.context.observer().dispatched(version.id(), VersionGate.isCandidate(chat.view(), version.id()));
		boolean failed = true;
		try {
			EngineClient.EngineResult result = this.context.engines().generate(server, request, collector);
			failed = false;
			Attempt attempt = attempt(version.id(), server.id(), Effect.DONE, "whole", started);
			explanation.attempted(attempt);
			this.context.retryPolicy().recordSuccess();
			this.context.servers().prefixServed(server.id(), chat.facts().prefixHash());
			double first = firstToken(collector, started);
			observeTimes(version.id(), attempt.millis(), first, result.answerTokens());
			this.context.crashGuard()
				.afterAttempt(chat.facts(), attempt, false, this.context.clock().monotonicMillis());
			return new AttemptAnswer(index, attempt, version, collector.text(), result, first);
		}
		catch (BackendException ex) {
			failed = ex.kind() != BackendException.Kind.CANCELLED && ex.kind() != BackendException.Kind.REJECTED;
			Attempt attempt = attempt(version.id(), server.id(), ex.effect(), ex.kind().name().toLowerCase(Locale.ROOT),
					started);
			explanation.attempted(attempt);
			LOG.info(RouterEvents.ATTEMPT_FAILED, index, chat.facts().id(), version.id(), server.id(), ex.getMessage(),
					ex.effect());
			afterFailure(chat.facts(), server, attempt, ex);
			throw ex;
		}
		finally {
			this.context.servers().ended(server.id(), failed);
		}
	}

	private void afterFailure(RequestFacts facts, BackendServer server, Attempt attempt, BackendException ex) {
		long now = this.context.clock().monotonicMillis();
		if (ex.kind() != BackendException.Kind.CANCELLED) {
			this.context.rolloutPolicy().recordOutcome(facts, attempt, now);
		}
		boolean crashed = ex.kind() == BackendException.Kind.CUT_OFF && !answers(server);
		Optional<Brake> brake = this.context.crashGuard().afterAttempt(facts, attempt, crashed, now);
		brake.ifPresent(this.context.brakeSink());
	}

	private boolean answers(BackendServer server) {
		try {
			this.context.engines().load(server);
			return true;
		}
		catch (BackendException ex) {
			return false;
		}
	}

	private void pauseBeforeRetry(RequestFacts facts, List<Attempt> attempts, Effect effect, BackendException ex)
			throws RefusedException {
		if (ex.kind() == BackendException.Kind.CANCELLED) {
			throw refused(RefusalCode.BACKEND_FAILED, "the caller closed its connection", effect);
		}
		double remaining = remaining(facts).toMillis();
		if (remaining <= 0) {
			throw refused(RefusalCode.DEADLINE_EXCEEDED, "the deadline passed before a whole answer arrived", effect);
		}
		RetryPolicy.Decision verdict = this.context.retryPolicy().decide(facts, attempts, true, remaining);
		if (!verdict.retry()) {
			throw refused(RefusalCode.BACKEND_FAILED, ex.getMessage() + " (" + verdict.reason() + ")", effect);
		}
		sleep(verdict.delayMillis(), effect);
	}

	private static void sleep(long millis, Effect effect) throws RefusedException {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException interrupted) {
			Thread.currentThread().interrupt();
			throw refused(RefusalCode.DRAINING, "the host is shutting down", effect);
		}
	}

	private static RefusedException refused(RefusalCode code, String reason, Effect effect) {
		return new RefusedException(new Refusal(code, reason, effect, Optional.of(RETRY_LATER)));
	}

	private Duration remaining(RequestFacts facts) {
		return Duration.ofMillis(Math.max(0, facts.deadlineMillis() - this.context.clock().monotonicMillis()));
	}

	private Attempt attempt(VersionId version, ServerId server, Effect effect, String outcome, long started) {
		return new Attempt(version, server, effect, OptionalDouble.empty(), outcome,
				this.context.clock().monotonicMillis() - started);
	}

	private static double firstToken(TokenCollector collector, long started) {
		return Math.max(0, collector.firstTokenMillis() - started);
	}

	private void observeTimes(VersionId version, long millis, double first, int tokens) {
		double between = (tokens > 1) ? (millis - first) / (tokens - 1) : 0;
		this.latencies.observe(version, first, between);
	}

	private static Effect worse(Effect a, Effect b) {
		return (a.compareTo(b) >= 0) ? a : b;
	}

}
