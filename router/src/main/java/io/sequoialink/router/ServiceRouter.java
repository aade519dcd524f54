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
 * Routes calls to plain services. A call that may not be repeated is claimed in the log
 * before it is dispatched, and dispatched at most once a claim. Thread-safe.
 */
public final class ServiceRouter {

	/** The deadline of a call that states none. */
	public static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(10);

	private static final Logger LOG = LoggerFactory.getLogger(ServiceRouter.class);

	private static final Duration BILL_PATIENCE = Duration.ofMillis(200);

	private static final Duration RETRY_LATER = Duration.ofSeconds(1);

	private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

	private final RouterContext context;

	private final ChatResolver resolver;

	public ServiceRouter(RouterContext context) {
		this.context = context;
		VersionGate gate = new VersionGate(context.catalogue(), context.brakes(), context.freshness());
		this.resolver = new ChatResolver(context.catalogue(), gate, context.sessions(), new LatencyTable(),
				context.clock());
	}

	/**
	 * Routes a call and returns the service's whole response.
	 * @param request the call
	 * @return the response, or the recorded response of the call's first execution
	 * @throws RefusedException if there is no whole response; it says what was done
	 */
	public ServiceClient.ServiceResponse call(ServiceRequest request) throws RefusedException {
		long started = this.context.clock().monotonicMillis();
		Explanation explanation = this.context.explanations()
			.open(request.caller().id(), this.context.clock().wallMillis());
		String account = "unknown";
		try {
			CatalogueView view = this.context.catalogue().view();
			ClientAccount known = this.resolver.account(view, request.caller());
			account = known.id().value();
			this.resolver.requireFresh();
			PlainService service = service(view, known, request);
			explanation.resolved(account, service.id(), view.revision(), List.of());
			return admitted(new Call(request, known, service, facts(request, known), explanation), started);
		}
		catch (RefusedException ex) {
			explanation.refused(ex.refusal());
			this.context.observer().refused(account, ex.refusal().code());
			throw ex;
		}
		finally {
			explanation.ended(this.context.clock().monotonicMillis() - started);
		}
	}

	private ServiceClient.ServiceResponse admitted(Call call, long started) throws RefusedException {
		ChatRouter.requireAcceptingBills(this.context);
		Optional<Refusal> refusal = this.context.admissionPolicy()
			.admit(call.account(), call.facts(), this.context.clock().monotonicMillis());
		if (refusal.isPresent()) {
			throw new RefusedException(refusal.get());
		}
		try {
			boolean repeatable = call.service().idempotent() || SAFE_METHODS.contains(call.request().method());
			ServiceClient.ServiceResponse response = repeatable ? repeatable(call) : atMostOnce(call);
			double seconds = (this.context.clock().monotonicMillis() - started) / 1e3;
			this.context.observer().answered(call.account().id(), call.service().id(), seconds, seconds, 0);
			return response;
		}
		finally {
			long now = this.context.clock().monotonicMillis();
			this.context.admissionPolicy().release(call.account(), 0, now - started, now);
		}
	}

	private ServiceClient.ServiceResponse repeatable(Call call) throws RefusedException {
		List<Attempt> attempts = new ArrayList<>();
		Set<ServerId> avoided = new HashSet<>();
		while (true) {
			BackendServer server = choose(call, avoided, worst(attempts));
			try {
				ServiceClient.ServiceResponse response = dispatch(call, server, attempts);
				bill(call, call.facts().id());
				return response;
			}
			catch (BackendException ex) {
				avoided.add(server.id());
				RetryPolicy.Decision verdict = this.context.retryPolicy()
					.decide(call.facts(), attempts, true, remaining(call).toMillis());
				if (!verdict.retry() || remaining(call).isZero()) {
					throw new RefusedException(new Refusal(RefusalCode.BACKEND_FAILED, ex.getMessage(), worst(attempts),
							Optional.of(RETRY_LATER)));
				}
				pause(verdict.delayMillis(), worst(attempts));
			}
		}
	}

	private ServiceClient.ServiceResponse atMostOnce(Call call) throws RefusedException {
		ClaimDecision decision = claim(call);
		call.explanation().step("claim: " + decision.getClass().getSimpleName());
		if (decision instanceof ClaimDecision.Granted granted) {
			return execute(call, granted);
		}
		if (decision instanceof ClaimDecision.Replay replay) {
			bill(call, replay.outcome().request());
			return new ServiceClient.ServiceResponse(replay.outcome().status(), replay.outcome().contentType(),
					replay.outcome().body());
		}
		throw new RefusedException(refusalOf(decision));
	}

	private static Refusal refusalOf(ClaimDecision decision) {
		if (decision instanceof ClaimDecision.InProgress) {
			return new Refusal(RefusalCode.DUPLICATE_IN_PROGRESS,
					"another request with this idempotency key is under way", Effect.UNKNOWN, Optional.of(RETRY_LATER));
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
			.orElseThrow(() -> ChatResolver.refuse(RefusalCode.BAD_REQUEST,
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
				.retryAfter(RETRY_LATER));
		}
	}

	private ServiceClient.ServiceResponse execute(Call call, ClaimDecision.Granted claim) throws RefusedException {
		BackendServer server;
		try {
			server = choose(call, Set.of(), Effect.NONE);
		}
		catch (RefusedException ex) {
			this.context.claims().recordNotDispatched(claim);
			throw ex;
		}
		if (!this.context.claims().mayDispatch(claim)) {
			this.context.claims().recordNotDispatched(claim);
			throw new RefusedException(
					Refusal.notRun(RefusalCode.LOG_UNAVAILABLE, "the claim lapsed before the call was dispatched")
						.retryAfter(RETRY_LATER));
		}
		try {
			ServiceClient.ServiceResponse response = dispatch(call, server, new ArrayList<>());
			this.context.claims()
				.recordOutcome(claim, new RecordedOutcome(call.facts().id(), response.status(), response.contentType(),
						response.body()));
			this.context.claims().flush();
			bill(call, call.facts().id());
			return response;
		}
		catch (BackendException ex) {
			throw afterFailedExecution(claim, ex);
		}
	}

	private RefusedException afterFailedExecution(ClaimDecision.Granted claim, BackendException ex) {
		if (ex.effect() == Effect.NONE) {
			this.context.claims().recordNotDispatched(claim);
			return new RefusedException(
					Refusal.notRun(RefusalCode.BACKEND_FAILED, ex.getMessage()).retryAfter(RETRY_LATER));
		}
		return new RefusedException(new Refusal(RefusalCode.OUTCOME_UNKNOWN,
				"the call may have been run and is not repeated: " + ex.getMessage(), Effect.UNKNOWN,
				Optional.empty()));
	}

	private ServiceClient.ServiceResponse dispatch(Call call, BackendServer server, List<Attempt> attempts)
			throws BackendException {
		long started = this.context.clock().monotonicMillis();
		boolean failed = true;
		this.context.servers().started(server.id());
		try {
			ServiceClient.ServiceResponse response = this.context.services()
				.call(server, new ServiceClient.ServiceCall(call.facts().id(), call.request().method(),
						call.request().path(), call.request().headers(), call.request().body(), remaining(call)));
			failed = false;
			this.context.retryPolicy().recordSuccess();
			note(call, attempts, server, Effect.DONE, "whole", started);
			return response;
		}
		catch (BackendException ex) {
			note(call, attempts, server, ex.effect(), ex.kind().name().toLowerCase(Locale.ROOT), started);
			LOG.info(RouterEvents.ATTEMPT_FAILED, attempts.size() - 1, call.facts().id(), call.service().id(),
					server.id(), ex.getMessage(), ex.effect());
			throw ex;
		}
		finally {
			this.context.servers().ended(server.id(), failed);
		}
	}

	private void note(Call call, List<Attempt> attempts, BackendServer server, Effect effect, String outcome,
			long started) {
		Attempt attempt = new Attempt(new VersionId(call.service().id()), server.id(), effect, OptionalDouble.empty(),
				outcome, this.context.clock().monotonicMillis() - started);
		attempts.add(attempt);
		call.explanation().attempted(attempt);
	}

	private BackendServer choose(Call call, Set<ServerId> avoided, Effect effect) throws RefusedException {
		return this.context.serverPolicy()
			.choose(call.facts(), this.context.servers().offering(ServerKind.SERVICE, call.service().id(), 0), avoided,
					this.context.random())
			.flatMap(this.context.servers()::server)
			.orElseThrow(() -> new RefusedException(new Refusal(RefusalCode.BACKEND_FAILED,
					"no backend server of service " + call.service().id() + " can be used", effect,
					Optional.of(RETRY_LATER))));
	}

	private static void pause(long millis, Effect effect) throws RefusedException {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new RefusedException(
					new Refusal(RefusalCode.DRAINING, "the host is shutting down", effect, Optional.of(RETRY_LATER)));
		}
	}

	private static PlainService service(CatalogueView view, ClientAccount account, ServiceRequest request)
			throws RefusedException {
		PlainService service = view.service(request.service())
			.orElseThrow(() -> ChatResolver.refuse(RefusalCode.NOT_FOUND,
					"service " + request.service() + " does not exist"));
		if (!service.accounts().matches(account.labels())) {
			throw ChatResolver.refuse(RefusalCode.FORBIDDEN,
					"service " + service.id() + " is not open to account " + account.id());
		}
		return service;
	}

	private RequestFacts facts(ServiceRequest request, ClientAccount account) throws RefusedException {
		Duration deadline = request.caller().deadline().orElse(DEFAULT_DEADLINE);
		if (deadline.isNegative() || deadline.isZero()) {
			throw ChatResolver.refuse(RefusalCode.DEADLINE_IMPOSSIBLE, "the deadline has passed");
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

	private void bill(Call call, RequestId request) {
		Bill bill = new Bill(request, call.account().id(), call.service().id(), 0, 0,
				this.context.clock().wallMillis());
		this.context.bills().record(bill, BILL_PATIENCE);
		call.explanation().billed(bill);
	}

	private static Effect worst(List<Attempt> attempts) {
		return attempts.stream().map(Attempt::effect).max(Effect::compareTo).orElse(Effect.NONE);
	}

	private record Call(ServiceRequest request, ClientAccount account, PlainService service, RequestFacts facts,
			Explanation explanation) {
	}

}
