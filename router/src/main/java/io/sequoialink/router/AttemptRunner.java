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
 * Executes a request on one model version: selects backend servers, retries failed
 * attempts and resumes interrupted streams. Checks immediately before each dispatch that
 * the version may still be used, unless the attempt resumes a stream. Thread-safe; each
 * call runs entirely on the worker thread of its request.
 */
final class AttemptRunner {

	private static final Logger LOG = LoggerFactory.getLogger(AttemptRunner.class);

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private static final Duration CRASH_GUARD_POLL_INTERVAL = Duration.ofMillis(50);

	private final RouterContext context;

	private final VersionEligibility eligibility;

	private final LatencyEstimates latencies;

	AttemptRunner(RouterContext context, VersionEligibility eligibility, LatencyEstimates latencies) {
		this.context = context;
		this.eligibility = eligibility;
		this.latencies = latencies;
	}

	/**
	 * Executes a request on one version, with retries, until an answer is complete.
	 * @param chat the resolved request
	 * @param version the version to run
	 * @param sink receives the tokens as they arrive
	 * @param metadata passed to the sink before the first token
	 * @param explanation records every attempt
	 * @return the complete answer
	 * @throws RefusedException if no attempt produced a complete answer; its effect tells
	 * whether an attempt may have been run
	 */
	AttemptAnswer run(ResolvedChat chat, ModelVersion version, AnswerSink sink, AnswerMetadata metadata,
			Explanation explanation) throws RefusedException {
		TokenCollector collector = new TokenCollector(sink, metadata, this.context.clock());
		Set<ServerId> failedServers = new HashSet<>();
		Effect effect = Effect.NONE;
		Optional<BackendServer> resumeServer = Optional.empty();
		while (true) {
			BackendServer server = (resumeServer.isPresent()) ? resumeServer.get()
					: chooseServer(chat, version.id(), failedServers, effect);
			checkEligibility(chat, version.id(), effect, resumeServer.isPresent());
			waitForCrashGuard(chat.facts(), effect);
			try {
				return dispatch(chat, version, server, collector, explanation);
			}
			catch (BackendException ex) {
				effect = mostSevere(effect, ex.effect());
				failedServers.add(server.id());
				List<Attempt> attempts = explanation.snapshot().attempts();
				waitBeforeRetry(chat.facts(), attempts, effect, ex);
				resumeServer = (collector.tokenCount() > 0) ? Optional.of(server) : Optional.empty();
			}
		}
	}

	private BackendServer chooseServer(ResolvedChat chat, VersionId version, Set<ServerId> failedServers, Effect effect)
			throws RefusedException {
		List<ServerView> views = this.context.servers()
			.availableServers(ServerKind.ENGINE, version.value(), chat.facts().prefixHash());
		if (this.context.crashGuard().requiresExclusiveServer(chat.facts(), this.context.clock().monotonicMillis())) {
			views = preferIdleServers(views);
		}
		return this.context.serverPolicy()
			.choose(chat.facts(), views, failedServers, this.context.newRandom())
			.flatMap(this.context.servers()::server)
			.orElseThrow(() -> new RefusedException(new Refusal(RefusalCode.BACKEND_FAILED,
					"no backend server that offers " + version + " can be used", effect, Optional.of(RETRY_AFTER))));
	}

	private static List<ServerView> preferIdleServers(List<ServerView> views) {
		List<ServerView> idle = views.stream().filter((view) -> view.inFlight() + view.reportedRunning() == 0).toList();
		return idle.isEmpty() ? views : idle;
	}

	private void checkEligibility(ResolvedChat chat, VersionId version, Effect effect, boolean resumed)
			throws RefusedException {
		Optional<Refusal> refusal = resumed ? Optional.empty() : this.eligibility.check(chat.account(), version);
		if (refusal.isPresent()) {
			throw withEffect(refusal.get(), effect);
		}
	}

	/**
	 * Waits until the crash guard lets this request be sent to a server; it may delay
	 * requests that are suspected of crashing servers. A request against which a stop
	 * order is in force is rejected immediately.
	 * @param facts the properties of the request
	 * @param effect the most severe effect of the earlier attempts, which a rejection
	 * reports to the caller
	 * @throws RefusedException if a stop order is in force, or the deadline would pass
	 * before the request may be sent
	 */
	private void waitForCrashGuard(RequestFacts facts, Effect effect) throws RefusedException {
		while (true) {
			Optional<Refusal> refusal = this.context.crashGuard()
				.beforeDispatch(facts, this.context.clock().monotonicMillis());
			if (refusal.isEmpty()) {
				return;
			}
			boolean maySucceedLater = refusal.get().code() == RefusalCode.OVERLOADED;
			if (!maySucceedLater || remaining(facts).compareTo(CRASH_GUARD_POLL_INTERVAL) <= 0) {
				throw withEffect(refusal.get(), effect);
			}
			sleep(CRASH_GUARD_POLL_INTERVAL.toMillis(), effect);
		}
	}

	private static RefusedException withEffect(Refusal original, Effect effect) {
		return new RefusedException(new Refusal(original.code(), original.reason(), effect, original.retryAfter()));
	}

	private AttemptAnswer dispatch(ResolvedChat chat, ModelVersion version, BackendServer server,
			TokenCollector collector, Explanation explanation) throws BackendException {
		int index = explanation.attemptCount();
		long startMillis = this.context.clock().monotonicMillis();
		EngineClient.EngineRequest request = new EngineClient.EngineRequest(chat.facts().id(), index, version.id(),
				chat.request().messages(), chat.request().maxTokens(), chat.account().priority(),
				remaining(chat.facts()), collector.tokenCount(), chat.requestClass().id(), chat.account().id());
		this.context.servers().recordDispatch(server.id());
		this.context.observer().dispatched(version.id(), VersionEligibility.isCandidate(chat.view(), version.id()));
		boolean serverFailed = true;
		try {
			EngineClient.EngineResult result = this.context.engines().generate(server, request, collector);
			serverFailed = false;
			Attempt attempt = createAttempt(version.id(), server.id(), Effect.DONE, "whole", startMillis);
			explanation.recordAttempt(attempt);
			this.context.retryPolicy().recordSuccess();
			this.context.servers().recordPrefix(server.id(), chat.facts().prefixHash());
			double firstTokenMillis = timeToFirstToken(collector, startMillis);
			recordLatencies(version.id(), attempt.millis(), firstTokenMillis, result.answerTokens());
			this.context.crashGuard()
				.afterAttempt(chat.facts(), attempt, false, this.context.clock().monotonicMillis());
			return new AttemptAnswer(index, attempt, version, collector.text(), result, firstTokenMillis);
		}
		catch (BackendException ex) {
			serverFailed = ex.kind() != BackendException.Kind.CANCELLED && ex.kind() != BackendException.Kind.REJECTED;
			Attempt attempt = createAttempt(version.id(), server.id(), ex.effect(),
					ex.kind().name().toLowerCase(Locale.ROOT), startMillis);
			explanation.recordAttempt(attempt);
			LOG.info(RouterEvents.ATTEMPT_FAILED, index, chat.facts().id(), version.id(), server.id(), ex.getMessage(),
					ex.effect());
			recordFailure(chat.facts(), server, attempt, ex);
			throw ex;
		}
		finally {
			this.context.servers().recordEnd(server.id(), serverFailed);
		}
	}

	private void recordFailure(RequestFacts facts, BackendServer server, Attempt attempt, BackendException ex) {
		long now = this.context.clock().monotonicMillis();
		if (ex.kind() != BackendException.Kind.CANCELLED) {
			this.context.rolloutPolicy().recordOutcome(facts, attempt, now);
		}
		boolean crashed = ex.kind() == BackendException.Kind.CUT_OFF && !isReachable(server);
		Optional<Brake> brake = this.context.crashGuard().afterAttempt(facts, attempt, crashed, now);
		brake.ifPresent(this.context.brakePublisher());
	}

	private boolean isReachable(BackendServer server) {
		try {
			this.context.engines().load(server);
			return true;
		}
		catch (BackendException ex) {
			return false;
		}
	}

	private void waitBeforeRetry(RequestFacts facts, List<Attempt> attempts, Effect effect, BackendException ex)
			throws RefusedException {
		if (ex.kind() == BackendException.Kind.CANCELLED) {
			throw refusal(RefusalCode.BACKEND_FAILED, "the caller closed its connection", effect);
		}
		double remaining = remaining(facts).toMillis();
		if (remaining <= 0) {
			throw refusal(RefusalCode.DEADLINE_EXCEEDED, "the deadline passed before a whole answer arrived", effect);
		}
		RetryPolicy.Decision decision = this.context.retryPolicy().decide(facts, attempts, true, remaining);
		if (!decision.retry()) {
			throw refusal(RefusalCode.BACKEND_FAILED, ex.getMessage() + " (" + decision.reason() + ")", effect);
		}
		sleep(decision.delayMillis(), effect);
	}

	private static void sleep(long millis, Effect effect) throws RefusedException {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw refusal(RefusalCode.DRAINING, "the host is shutting down", effect);
		}
	}

	private static RefusedException refusal(RefusalCode code, String reason, Effect effect) {
		return new RefusedException(new Refusal(code, reason, effect, Optional.of(RETRY_AFTER)));
	}

	private Duration remaining(RequestFacts facts) {
		return Duration.ofMillis(Math.max(0, facts.deadlineMillis() - this.context.clock().monotonicMillis()));
	}

	private Attempt createAttempt(VersionId version, ServerId server, Effect effect, String outcome, long startMillis) {
		return new Attempt(version, server, effect, OptionalDouble.empty(), outcome,
				this.context.clock().monotonicMillis() - startMillis);
	}

	private static double timeToFirstToken(TokenCollector collector, long startMillis) {
		return Math.max(0, collector.firstTokenMillis() - startMillis);
	}

	private void recordLatencies(VersionId version, long millis, double firstTokenMillis, int tokens) {
		double betweenTokensMillis = (tokens > 1) ? (millis - firstTokenMillis) / (tokens - 1) : 0;
		this.latencies.update(version, firstTokenMillis, betweenTokensMillis);
	}

	private static Effect mostSevere(Effect a, Effect b) {
		return (a.compareTo(b) >= 0) ? a : b;
	}

}
