package io.sequoialink.router;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;

import io.sequoialink.catalogue.Catalogue;
import io.sequoialink.catalogue.Change;
import io.sequoialink.catalogue.Verdict;
import io.sequoialink.decision.AdmissionPolicy;
import io.sequoialink.decision.Attempt;
import io.sequoialink.decision.Candidate;
import io.sequoialink.decision.CascadePolicy;
import io.sequoialink.decision.CrashGuard;
import io.sequoialink.decision.RequestFacts;
import io.sequoialink.decision.RetryPolicy;
import io.sequoialink.decision.RolloutPolicy;
import io.sequoialink.decision.ServerPolicy;
import io.sequoialink.decision.TierDecision;
import io.sequoialink.decision.routing.OutlierDetector;
import io.sequoialink.decision.routing.OutlierParameters;
import io.sequoialink.ledger.BillJournal;
import io.sequoialink.ledger.ClaimDecision;
import io.sequoialink.ledger.ClaimKey;
import io.sequoialink.ledger.ClaimTable;
import io.sequoialink.ledger.RecordedOutcome;
import io.sequoialink.model.AccountId;
import io.sequoialink.model.BackendServer;
import io.sequoialink.model.Bill;
import io.sequoialink.model.Brake;
import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.ClassId;
import io.sequoialink.model.ClientAccount;
import io.sequoialink.model.ConfigObject;
import io.sequoialink.model.Effect;
import io.sequoialink.model.HostId;
import io.sequoialink.model.Labels;
import io.sequoialink.model.LoadReport;
import io.sequoialink.model.ModelVersion;
import io.sequoialink.model.PlainService;
import io.sequoialink.model.Refusal;
import io.sequoialink.model.RequestClass;
import io.sequoialink.model.RequestId;
import io.sequoialink.model.Selector;
import io.sequoialink.model.ServerId;
import io.sequoialink.model.ServerKind;
import io.sequoialink.model.VersionId;
import io.sequoialink.model.VersionState;
import io.sequoialink.remote.BackendException;
import io.sequoialink.remote.CallerGoneException;
import io.sequoialink.remote.EngineClient;
import io.sequoialink.remote.ServiceClient;

/**
 * A chat router and a service router with simulated engines, services, claims, bills and
 * clock, which tests control through the fields of this class. Not thread-safe; ratings
 * run on the calling thread unless a test passes another executor.
 */
final class RouterFixture {

	static final String KEY = "key-of-studio";

	final List<String> dispatched = new ArrayList<>();

	final Deque<Step> script = new ArrayDeque<>();

	final List<Bill> bills = new ArrayList<>();

	final List<String> claimCalls = new ArrayList<>();

	final List<ConfigObject> objects = new ArrayList<>(List.of(
			new ClientAccount(new AccountId("studio"), Labels.none(), Digests.keyDigest(KEY), Selector.parse("!secret"),
					0, null),
			new ClientAccount(new AccountId("other"), Labels.none(), Digests.keyDigest("key-of-other"),
					Selector.everything(), 0, null),
			version("small", 100, Labels.none()), version("large", 2000, Labels.none()),
			version("hidden", 1, Labels.of(Map.of("secret", "yes"))),
			new RequestClass(new ClassId("tagline"), Labels.none(), 0.9, Duration.ofSeconds(4)),
			new PlainService("booking", Labels.none(), Selector.everything(), false),
			new PlainService("search", Labels.none(), Selector.everything(), true)));

	final SessionTokens sessions = new SessionTokens("k1", Map.of("k1", new byte[32]));

	final BrakeTable brakes = new BrakeTable();

	final ExplanationStore explanations = new ExplanationStore(100);

	ClaimDecision claimDecision;

	boolean claimValid = true;

	double rating = 1;

	boolean escalate;

	double maxRatingWaitMillis = 1_000;

	Duration configurationAge = Duration.ZERO;

	private long revision;

	private long nowMillis = 1_000;

	private int requests;

	final ChatRouter chat;

	final ServiceRouter services;

	RouterFixture() {
		this(Runnable::run);
	}

	RouterFixture(Executor ratingExecutor) {
		RouterContext context = new RouterContext(new FixtureCatalogue(), servers(), this.brakes, this.brakes::add,
				this.sessions, FreshnessPolicy.STRICT, new FixtureCascade(), new NoRollouts(), firstUsableServer(),
				retryTwice(), new AdmitAll(), new PermissiveCrashGuard(), new ScriptedEngines(), this::callService,
				(answer) -> OptionalDouble.of(this.rating), ratingExecutor, new ScriptedClaims(), new InMemoryBills(),
				this.explanations, RouterObserver.NONE, new FixtureClock(), () -> new Random(1));
		this.chat = new ChatRouter(context);
		this.services = new ServiceRouter(context);
	}

	static ModelVersion version(String id, long cost, Labels labels) {
		return new ModelVersion(new VersionId(id), labels, cost, VersionState.OFFERED);
	}

	void withdraw(String id) {
		this.objects.replaceAll((object) -> (object instanceof ModelVersion version && version.id().value().equals(id))
				? version.withState(VersionState.WITHDRAWN) : object);
		this.revision++;
	}

	ChatRequest request(String key, Optional<String> session, boolean beginSession, boolean streamed) {
		CallerContext caller = new CallerContext(new RequestId("r" + ++this.requests), key,
				Optional.of(new ClassId("tagline")), OptionalDouble.empty(), Optional.empty(), session, beginSession,
				Optional.empty());
		return new ChatRequest(caller, List.of(new EngineClient.Message("user", "a tagline, please")), 10, streamed,
				Optional.empty());
	}

	ChatRequest request() {
		return request(KEY, Optional.empty(), false, false);
	}

	ServiceRequest depositCall(Optional<String> idempotencyKey) {
		CallerContext caller = new CallerContext(new RequestId("r" + ++this.requests), KEY, Optional.empty(),
				OptionalDouble.empty(), Optional.empty(), Optional.empty(), false, idempotencyKey);
		return new ServiceRequest(caller, "booking", "POST", "/deposits", Map.of(), new byte[] { 1 });
	}

	static Step answering(String... tokens) {
		return (sink) -> {
			for (int i = 0; i < tokens.length; i++) {
				sink.token(i, tokens[i]);
			}
			return new EngineClient.EngineResult(5, 0, tokens.length, Optional.of("stop"));
		};
	}

	static Step failing(BackendException.Kind kind, Effect effect, String... tokens) {
		return (sink) -> {
			for (int i = 0; i < tokens.length; i++) {
				sink.token(i, tokens[i]);
			}
			throw new BackendException(kind, effect, "scripted " + kind);
		};
	}

	private ServerTable servers() {
		ServerTable table = new ServerTable("a", new FixtureClock(), new OutlierDetector(OutlierParameters.DEFAULT));
		Set<String> offers = Set.of("small", "large", "hidden");
		table.replaceServers(
				List.of(new BackendServer(new ServerId("e1"), ServerKind.ENGINE, "127.0.0.1", 1, "a", offers, false),
						new BackendServer(new ServerId("e2"), ServerKind.ENGINE, "127.0.0.1", 2, "b", offers, false),
						new BackendServer(new ServerId("e0"), ServerKind.ENGINE, "127.0.0.1", 2, "b", offers, true),
						new BackendServer(new ServerId("s1"), ServerKind.SERVICE, "127.0.0.1", 3, "a",
								Set.of("booking", "search"), false)));
		return table;
	}

	private static ServerPolicy firstUsableServer() {
		return (request, servers, excluded, random) -> servers.stream()
			.map((view) -> view.server().id())
			.filter((id) -> !excluded.contains(id))
			.findFirst();
	}

	private static RetryPolicy retryTwice() {
		return (request, attempts, idempotent, remaining) -> new RetryPolicy.Decision(attempts.size() < 3, 0,
				"scripted");
	}

	private ServiceClient.ServiceResponse callService(BackendServer server, ServiceClient.ServiceCall call)
			throws BackendException {
		this.dispatched.add(call.path());
		if (!this.script.isEmpty()) {
			try {
				this.script.poll().run((number, text) -> {
				});
			}
			catch (CallerGoneException ex) {
				throw new IllegalStateException(ex);
			}
		}
		return new ServiceClient.ServiceResponse(201, "application/json", new byte[] { 7 });
	}

	/**
	 * The simulated result of one call to an engine or service.
	 */
	@FunctionalInterface
	interface Step {

		EngineClient.EngineResult run(EngineClient.TokenSink sink) throws BackendException, CallerGoneException;

	}

	private final class FixtureCatalogue implements Catalogue {

		@Override
		public CatalogueView view() {
			long currentRevision = RouterFixture.this.revision;
			return CatalogueView.of(currentRevision,
					RouterFixture.this.objects.stream().map((object) -> new CatalogueView.Entry(object, 0)).toList());
		}

		@Override
		public Duration age() {
			return RouterFixture.this.configurationAge;
		}

		@Override
		public Verdict apply(Change change) {
			throw new UnsupportedOperationException("not scripted");
		}

		@Override
		public List<Verdict> history(int limit) {
			return List.of();
		}

	}

	private final class FixtureClock implements Clock {

		@Override
		public long wallMillis() {
			return RouterFixture.this.nowMillis;
		}

		@Override
		public long monotonicNanos() {
			return RouterFixture.this.nowMillis * 1_000_000;
		}

	}

	private final class FixtureCascade implements CascadePolicy {

		@Override
		public TierDecision start(RequestFacts request, List<Candidate> candidates, double remainingMillis,
				RandomGenerator random) {
			return new TierDecision(candidates.get(0).version().id(), false, List.of());
		}

		@Override
		public Optional<TierDecision> next(RequestFacts request, List<Candidate> candidates, List<Attempt> attempts,
				double remainingMillis, RandomGenerator random) {
			if (!RouterFixture.this.escalate || attempts.size() >= candidates.size()) {
				return Optional.empty();
			}
			return Optional.of(new TierDecision(candidates.get(attempts.size()).version().id(), false, List.of()));
		}

		@Override
		public double maxRatingWaitMillis(double remainingMillis) {
			return Math.min(remainingMillis, RouterFixture.this.maxRatingWaitMillis);
		}

		@Override
		public void learn(RequestFacts request, Attempt attempt, double weight) {
		}

	}

	private static final class NoRollouts implements RolloutPolicy {

		@Override
		public VersionId selectVersion(CatalogueView view, ClientAccount account, RequestFacts request,
				VersionId chosen, long nowMillis) {
			return chosen;
		}

		@Override
		public void recordOutcome(RequestFacts request, Attempt attempt, long nowMillis) {
		}

		@Override
		public List<Action> evaluate(CatalogueView view, long nowMillis) {
			return List.of();
		}

		@Override
		public byte[] exportStatistics() {
			return new byte[0];
		}

		@Override
		public void mergeStatistics(byte[] payload) {
		}

	}

	private static final class AdmitAll implements AdmissionPolicy {

		@Override
		public Optional<Refusal> admit(ClientAccount account, RequestFacts request, long nowMillis) {
			return Optional.empty();
		}

		@Override
		public void release(ClientAccount account, long tokens, double latencyMillis, long nowMillis) {
		}

	}

	private static final class PermissiveCrashGuard implements CrashGuard {

		@Override
		public Optional<Refusal> beforeDispatch(RequestFacts request, long nowMillis) {
			return Optional.empty();
		}

		@Override
		public Optional<Brake> afterAttempt(RequestFacts request, Attempt attempt, boolean serverCrashed,
				long nowMillis) {
			return serverCrashed ? Optional.of(new Brake(Brake.Scope.FINGERPRINT, request.fingerprint(), "crashed",
					new HostId("h1"), 0, nowMillis)) : Optional.empty();
		}

		@Override
		public void accept(Brake brake) {
		}

	}

	private final class ScriptedEngines implements EngineClient {

		@Override
		public EngineResult generate(BackendServer server, EngineRequest request, TokenSink sink)
				throws BackendException {
			RouterFixture.this.dispatched.add(request.version() + "@" + server.id() + "+" + request.resumeAt());
			Step step = RouterFixture.this.script.isEmpty() ? answering("fine") : RouterFixture.this.script.poll();
			try {
				return step.run(sink);
			}
			catch (CallerGoneException ex) {
				throw new BackendException(BackendException.Kind.CANCELLED, Effect.UNKNOWN, "caller gone", ex);
			}
		}

		@Override
		public void cancel(BackendServer server, RequestId request, int attempt) {
		}

		@Override
		public LoadReport load(BackendServer server) {
			return new LoadReport(server.id(), 0, 0, 1, 0);
		}

	}

	private final class ScriptedClaims implements ClaimTable {

		@Override
		public ClaimDecision claim(ClaimKey key, RequestId request, String fingerprint, Duration timeout) {
			RouterFixture.this.claimCalls.add("claim");
			return (RouterFixture.this.claimDecision != null) ? RouterFixture.this.claimDecision
					: new ClaimDecision.Granted(key, 7);
		}

		@Override
		public boolean mayDispatch(ClaimDecision.Granted claim) {
			return RouterFixture.this.claimValid;
		}

		@Override
		public void recordOutcome(ClaimDecision.Granted claim, RecordedOutcome outcome) {
			RouterFixture.this.claimCalls.add("outcome");
		}

		@Override
		public void recordNotDispatched(ClaimDecision.Granted claim) {
			RouterFixture.this.claimCalls.add("not_dispatched");
		}

	}

	private final class InMemoryBills implements BillJournal {

		@Override
		public Safety record(Bill bill, Duration maxWait) {
			RouterFixture.this.bills.add(bill);
			return Safety.LOGGED;
		}

		@Override
		public int flush(Duration maxWait) {
			return 0;
		}

	}

}
