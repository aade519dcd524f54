package io.sequoialink.router;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

import io.sequoialink.decision.Attempt;
import io.sequoialink.decision.RequestFacts;
import io.sequoialink.decision.RetryPolicy;
import io.sequoialink.ledger.ClaimDecision;
import io.sequoialink.ledger.ClaimKey;
import io.sequoialink.ledger.RecordedOutcome;
import io.sequoialink.model.BackendServer;
import io.sequoialink.model.Bill;
import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.ClassId;
import io.sequoialink.model.ClientAccount;
import io.sequoialink.model.Effect;
import io.sequoialink.model.Identifiers;
import io.sequoialink.model.PlainService;
import io.sequoialink.model.Refusal;
import io.sequoialink.model.RefusalCode;
import io.sequoialink.model.RequestId;
import io.sequoialink.model.ServerId;
import io.sequoialink.model.ServerKind;
import io.sequoialink.model.VersionId;
import io.sequoialink.remote.BackendException;
import io.sequoialink.remote.LogUnavailableException;
import io.sequoialink.remote.ServiceClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Routes calls to plain services. Calls that are idempotent, by their HTTP method or by
 * the configuration of the service, are retried. For any other call, the host first
 * records in the log that it is going to execute the call (a claim), and then dispatches
 * it at most once for this claim. Thread-safe.
 */
public final class ServiceRouter {

	/** Deadline of calls for which the caller sent none. */
	public static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(10);

	private static final Logger LOG = LoggerFactory.getLogger(ServiceRouter.class);

	private static final Duration MAX_BILL_WAIT = Duration.ofMillis(200);

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

	private final RouterContext context;

	private final ChatResolver resolver;

	public ServiceRouter(RouterContext context) {
		this.context = context;
		VersionEligibility eligibility = new VersionEligibility(context.catalogue(), context.brakes(),
				context.freshness());
		this.resolver = new ChatResolver(context.catalogue(), eligibility, context.sessions(), new LatencyEstimates(),
				context.clock());
	}

	/**
	 * Routes a call and returns the complete response of the service.
	 * @param request the call
	 * @return the response, or the recorded response of an earlier call with the same
	 * idempotency key
	 * @throws RefusedException if there is no complete response; its effect tells whether
	 * the call may have been run
	 */
	public ServiceClient.ServiceResponse call(ServiceRequest request) throws RefusedException {
		long startMillis = this.context.clock().monotonicMillis();
		Explanation explanation = this.context.explanations()
			.create(request.caller().id(), this.context.clock().wallMillis());
		String account = "unknown";
		try {
			CatalogueView view = this.context.catalogue().view();
			ClientAccount clientAccount = this.resolver.account(view, request.caller());
			account = clientAccount.id().value();
			this.resolver.checkFreshness();
			PlainService service = allowedService(view, clientAccount, request);
			explanation.recordResolution(account, service.id(), view.revision(), List.of());
			return admitAndCall(
					new Call(request, clientAccount, service, createFacts(request, clientAccount), explanation),
					startMillis);
		}
		catch (RefusedException ex) {
			explanation.recordRefusal(ex.refusal());
			this.context.observer().refused(account, ex.refusal().code());
			throw ex;
		}
		finally {
			explanation.recordEnd(this.context.clock().monotonicMillis() - startMillis);
		}
	}

	private ServiceClient.ServiceResponse admitAndCall(Call call, long startMillis) throws RefusedException {
		ChatRouter.checkBillBuffer(this.context);
		Optional<Refusal> refusal = this.context.admissionPolicy()
			.admit(call.account(), call.facts(), this.context.clock().monotonicMillis());
		if (refusal.isPresent()) {
			throw new RefusedException(refusal.get());
		}
		try {
			boolean idempotent = call.service().idempotent() || SAFE_METHODS.contains(call.request().method());
			ServiceClient.ServiceResponse response = idempotent ? callWithRetries(call) : callAtMostOnce(call);
			double seconds = (this.context.clock().monotonicMillis() - startMillis) / 1e3;
			this.context.observer().answered(call.account().id(), call.service().id(), seconds, seconds, 0);
			return response;
		}
		finally {
			long now = this.context.clock().monotonicMillis();
			this.context.admissionPolicy().release(call.account(), 0, now - startMillis, now);
		}
	}

	private ServiceClient.ServiceResponse callWithRetries(Call call) throws RefusedException {
		List<Attempt> attempts = new ArrayList<>();
		Set<ServerId> failedServers = new HashSet<>();
		while (true) {
			BackendServer server = chooseServer(call, failedServers, mostSevereEffect(attempts));
			try {
				ServiceClient.ServiceResponse response = dispatch(call, server, attempts);
				recordBill(call, call.facts().id());
				return response;
			}
			catch (BackendException ex) {
				failedServers.add(server.id());
				RetryPolicy.Decision decision = this.context.retryPolicy()
					.decide(call.facts(), attempts, true, remaining(call).toMillis());
				if (!decision.retry() || remaining(call).isZero()) {
					throw new RefusedException(new Refusal(RefusalCode.BACKEND_FAILED, ex.getMessage(),
							mostSevereEffect(attempts), Optional.of(RETRY_AFTER)));
				}
				sleep(decision.delayMillis(), mostSevereEffect(attempts));
			}
		}
	}

	private ServiceClient.ServiceResponse callAtMostOnce(Call call) throws RefusedException {
		ClaimDecision decision = claim(call);
		call.explanation().recordStep("claim: " + decision.getClass().getSimpleName());
		if (decision instanceof ClaimDecision.Granted granted) {
			return executeClaimed(call, granted);
		}
		if (decision instanceof ClaimDecision.Replay replay) {
			recordBill(call, replay.outcome().request());
			return new ServiceClient.ServiceResponse(replay.outcome().status(), replay.outcome().contentType(),
					replay.outcome().body());
		}
		throw new RefusedException(refusalOf(decision));
	}

	private static Refusal refusalOf(ClaimDecision decision) {
		if (decision instanceof ClaimDecision.InProgress) {
			return new Refusal(RefusalCode.DUPLICATE_IN_PROGRESS,
					"another request with this idempotency key is under way", Effect.UNKNOWN, Optional.of(RETRY_AFTER));
		}
		if (decision instanceof ClaimDecision.KeyReused) {
			return Refusal.notRun(RefusalCode.BAD_REQUEST, "the idempotency key was used for another request");
		}
		return new Refusal(RefusalCode.OUTCOME_UNKNOWN,
				"an earlier request with this idempotency key may have been run; it is not repeated", Effect.UNKNOWN,
				Optional.empty());
	}

	private ClaimDecision claim(Call call) throws RefusedException {
		String key = call.request()
			.caller()
			.idempotencyKey()
			.filter(Identifiers::valid)
			.orElseThrow(() -> ChatResolver.refusal(RefusalCode.BAD_REQUEST,
					"service " + call.service().id() + " needs an idempotency key of 1 to " + Identifiers.MAX_LENGTH
							+ " letters, digits, '.', '_', ':' or '-'"));
		try {
			return this.context.claims()
				.claim(new ClaimKey(call.account().id(), call.service().id(), key), call.facts().id(),
						call.facts().fingerprint(), remaining(call));
		}
		catch (LogUnavailableException ex) {
			throw new RefusedException(Refusal
				.notRun(RefusalCode.LOG_UNAVAILABLE, "the platform log can't record the claim: " + ex.getMessage())
				.retryAfter(RETRY_AFTER));
		}
	}

	private ServiceClient.ServiceResponse executeClaimed(Call call, ClaimDecision.Granted claim)
			throws RefusedException {
		BackendServer server;
		try {
			server = chooseServer(call, Set.of(), Effect.NONE);
		}
		catch (RefusedException ex) {
			this.context.claims().recordNotDispatched(claim);
			throw ex;
		}
		if (!this.context.claims().mayDispatch(claim)) {
			this.context.claims().recordNotDispatched(claim);
			throw new RefusedException(
					Refusal.notRun(RefusalCode.LOG_UNAVAILABLE, "the claim lapsed before the call was dispatched")
						.retryAfter(RETRY_AFTER));
		}
		try {
			ServiceClient.ServiceResponse response = dispatch(call, server, new ArrayList<>());
			this.context.claims()
				.recordOutcome(claim, new RecordedOutcome(call.facts().id(), response.status(), response.contentType(),
						response.body()));
			this.context.claims().flush();
			recordBill(call, call.facts().id());
			return response;
		}
		catch (BackendException ex) {
			throw recordFailedExecution(claim, ex);
		}
	}

	private RefusedException recordFailedExecution(ClaimDecision.Granted claim, BackendException ex) {
		if (ex.effect() == Effect.NONE) {
			this.context.claims().recordNotDispatched(claim);
			return new RefusedException(
					Refusal.notRun(RefusalCode.BACKEND_FAILED, ex.getMessage()).retryAfter(RETRY_AFTER));
		}
		return new RefusedException(new Refusal(RefusalCode.OUTCOME_UNKNOWN,
				"the call may have been run and is not repeated: " + ex.getMessage(), Effect.UNKNOWN,
				Optional.empty()));
	}

	private ServiceClient.ServiceResponse dispatch(Call call, BackendServer server, List<Attempt> attempts)
			throws BackendException {
		long startMillis = this.context.clock().monotonicMillis();
		boolean serverFailed = true;
		this.context.servers().recordDispatch(server.id());
		try {
			ServiceClient.ServiceResponse response = this.context.services()
				.call(server, new ServiceClient.ServiceCall(call.facts().id(), call.request().method(),
						call.request().path(), call.request().headers(), call.request().body(), remaining(call)));
			serverFailed = false;
			this.context.retryPolicy().recordSuccess();
			recordAttempt(call, attempts, server, Effect.DONE, "whole", startMillis);
			return response;
		}
		catch (BackendException ex) {
			recordAttempt(call, attempts, server, ex.effect(), ex.kind().name().toLowerCase(Locale.ROOT), startMillis);
			LOG.info(RouterEvents.ATTEMPT_FAILED, attempts.size() - 1, call.facts().id(), call.service().id(),
					server.id(), ex.getMessage(), ex.effect());
			throw ex;
		}
		finally {
			this.context.servers().recordEnd(server.id(), serverFailed);
		}
	}

	private void recordAttempt(Call call, List<Attempt> attempts, BackendServer server, Effect effect, String outcome,
			long startMillis) {
		Attempt attempt = new Attempt(new VersionId(call.service().id()), server.id(), effect, OptionalDouble.empty(),
				outcome, this.context.clock().monotonicMillis() - startMillis);
		attempts.add(attempt);
		call.explanation().recordAttempt(attempt);
	}

	private BackendServer chooseServer(Call call, Set<ServerId> failedServers, Effect effect) throws RefusedException {
		return this.context.serverPolicy()
			.choose(call.facts(), this.context.servers().availableServers(ServerKind.SERVICE, call.service().id(), 0),
					failedServers, this.context.newRandom())
			.flatMap(this.context.servers()::server)
			.orElseThrow(() -> new RefusedException(new Refusal(RefusalCode.BACKEND_FAILED,
					"no backend server of service " + call.service().id() + " can be used", effect,
					Optional.of(RETRY_AFTER))));
	}

	private static void sleep(long millis, Effect effect) throws RefusedException {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new RefusedException(
					new Refusal(RefusalCode.DRAINING, "the host is shutting down", effect, Optional.of(RETRY_AFTER)));
		}
	}

	private static PlainService allowedService(CatalogueView view, ClientAccount account, ServiceRequest request)
			throws RefusedException {
		PlainService service = view.service(request.service())
			.orElseThrow(() -> ChatResolver.refusal(RefusalCode.NOT_FOUND,
					"service " + request.service() + " does not exist"));
		if (!service.accounts().matches(account.labels())) {
			throw ChatResolver.refusal(RefusalCode.FORBIDDEN,
					"service " + service.id() + " is not open to account " + account.id());
		}
		return service;
	}

	private RequestFacts createFacts(ServiceRequest request, ClientAccount account) throws RefusedException {
		Duration deadline = request.caller().deadline().orElse(DEFAULT_DEADLINE);
		if (deadline.isNegative() || deadline.isZero()) {
			throw ChatResolver.refusal(RefusalCode.DEADLINE_IMPOSSIBLE, "the deadline has passed");
		}
		String content = request.method() + ' ' + request.path() + '\n'
				+ new String(request.body(), StandardCharsets.ISO_8859_1);
		return new RequestFacts(request.caller().id(), account.id(), new ClassId(request.service()), 1,
				this.context.clock().monotonicMillis() + deadline.toMillis(), 1, 1, false, Optional.empty(), false, 0,
				Digests.fingerprint(account.id().value(), content), account.priority());
	}

	private Duration remaining(Call call) {
		return Duration.ofMillis(Math.max(0, call.facts().deadlineMillis() - this.context.clock().monotonicMillis()));
	}

	private void recordBill(Call call, RequestId request) {
		Bill bill = new Bill(request, call.account().id(), call.service().id(), 0, 0,
				this.context.clock().wallMillis());
		this.context.bills().record(bill, MAX_BILL_WAIT);
		call.explanation().recordBill(bill);
	}

	private static Effect mostSevereEffect(List<Attempt> attempts) {
		return attempts.stream().map(Attempt::effect).max(Effect::compareTo).orElse(Effect.NONE);
	}

	private record Call(ServiceRequest request, ClientAccount account, PlainService service, RequestFacts facts,
			Explanation explanation) {
	}

}
