package io.sequoialink.router;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.sequoialink.catalogue.Catalogue;
import io.sequoialink.decision.Candidate;
import io.sequoialink.decision.RequestFacts;
import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.ClassId;
import io.sequoialink.model.ClientAccount;
import io.sequoialink.model.ModelVersion;
import io.sequoialink.model.Refusal;
import io.sequoialink.model.RefusalCode;
import io.sequoialink.model.RequestClass;
import io.sequoialink.model.VersionId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds account, class, session and allowed versions of a request, or refuses it as not
 * run. Thread-safe.
 */
final class ChatResolver {

	private static final Logger LOG = LoggerFactory.getLogger(ChatResolver.class);

	/**
	 * The usual number of characters of one token, for estimates before the engine
	 * counts.
	 */
	private static final int CHARACTERS_PER_TOKEN = 4;

	private final Catalogue catalogue;

	private final VersionGate gate;

	private final SessionTokens sessions;

	private final LatencyTable latencies;

	private final Clock clock;

	private final AccountIndex accounts = new AccountIndex();

	ChatResolver(Catalogue catalogue, VersionGate gate, SessionTokens sessions, LatencyTable latencies, Clock clock) {
		this.catalogue = catalogue;
		this.gate = gate;
		this.sessions = sessions;
		this.latencies = latencies;
		this.clock = clock;
	}

	ResolvedChat resolve(ChatRequest request) throws RefusedException {
		CatalogueView view = this.catalogue.view();
		ClientAccount account = account(view, request.caller());
		requireFresh();
		RequestClass requestClass = requestClass(view, request.caller());
		Optional<SessionTokens.Session> session = session(view, account, request.caller());
		RequestFacts facts = facts(request, account, requestClass, session);
		List<Candidate> candidates = candidates(view, account, requestClass, request, session);
		return new ResolvedChat(request, view, account, requestClass, facts, candidates, session);
	}

	ClientAccount account(CatalogueView view, CallerContext caller) throws RefusedException {
		return this.accounts.find(view, caller.accountKey())
			.orElseThrow(() -> refuse(RefusalCode.UNAUTHENTICATED, "the account key is missing or unknown"));
	}

	/**
	 * Returns the name of the caller's account for metrics and explanations.
	 * @param caller the caller
	 * @return the account's identifier, or {@code unknown}
	 */
	String name(CallerContext caller) {
		return this.accounts.find(this.catalogue.view(), caller.accountKey())
			.map((account) -> account.id().value())
			.orElse("unknown");
	}

	void requireFresh() throws RefusedException {
		Optional<Refusal> stale = this.gate.checkFreshness(false);
		if (stale.isPresent()) {
			throw new RefusedException(stale.get());
		}
	}

	private static RequestClass requestClass(CatalogueView view, CallerContext caller) throws RefusedException {
		ClassId id = caller.requestClass()
			.orElseThrow(() -> refuse(RefusalCode.BAD_REQUEST, "the request class is missing"));
		return view.requestClass(id)
			.orElseThrow(() -> refuse(RefusalCode.NOT_FOUND, "request class " + id + " does not exist"));
	}

	private Optional<SessionTokens.Session> session(CatalogueView view, ClientAccount account, CallerContext caller)
			throws RefusedException {
		if (caller.session().isEmpty()) {
			return Optional.empty();
		}
		Optional<SessionTokens.Session> session = this.sessions.open(caller.session().get())
			.filter((opened) -> opened.account().equals(account.id()));
		if (session.isEmpty()) {
			LOG.warn(RouterEvents.SESSION_REFUSED, account.id(), "forged, foreign or sealed with an unknown key");
			throw refuse(RefusalCode.SESSION_REFUSED, "the session token is not one of this account's");
		}
		VersionId version = session.get().version();
		if (!this.gate.offered(view, version)) {
			throw refuse(RefusalCode.SESSION_VERSION_WITHDRAWN,
					"version " + version + " of this session was withdrawn; begin a new session");
		}
		return session;
	}

	private RequestFacts facts(ChatRequest request, ClientAccount account, RequestClass requestClass,
			Optional<SessionTokens.Session> session) throws RefusedException {
		CallerContext caller = request.caller();
		Duration deadline = caller.deadline().orElse(requestClass.deadline());
		if (deadline.isNegative() || deadline.isZero()) {
			throw refuse(RefusalCode.DEADLINE_IMPOSSIBLE, "the deadline has passed");
		}
		String text = Digests.text(request.messages());
		return new RequestFacts(caller.id(), account.id(), requestClass.id(),
				caller.qualityTarget().orElse(requestClass.qualityTarget()),
				this.clock.monotonicMillis() + deadline.toMillis(), text.length() / CHARACTERS_PER_TOKEN + 1,
				request.maxTokens(), request.streamed(), session.map(SessionTokens.Session::version),
				caller.beginSession(), Digests.prefixHash(text), Digests.fingerprint(account.id().value(), text),
				account.priority());
	}

	private List<Candidate> candidates(CatalogueView view, ClientAccount account, RequestClass requestClass,
			ChatRequest request, Optional<SessionTokens.Session> session) throws RefusedException {
		Optional<VersionId> fixed = session.map(SessionTokens.Session::version).or(request::version);
		List<ModelVersion> allowed = view.allowedVersions(account, requestClass)
			.stream()
			.filter((version) -> this.gate.offered(view, version.id()))
			.toList();
		if (fixed.isPresent()) {
			return List.of(fixedVersion(view, account, fixed.get(), request.maxTokens()));
		}
		List<Candidate> candidates = allowed.stream()
			.filter((version) -> !VersionGate.isCandidate(view, version.id()))
			.map((version) -> this.latencies.candidate(version, request.maxTokens()))
			.toList();
		if (candidates.isEmpty()) {
			throw refuse(RefusalCode.NO_ALLOWED_VERSION,
					"no offered version of class " + requestClass.id() + " is allowed to account " + account.id());
		}
		return candidates;
	}

	private Candidate fixedVersion(CatalogueView view, ClientAccount account, VersionId id, int maxTokens)
			throws RefusedException {
		ModelVersion version = view.version(id)
			.filter((known) -> account.allowedVersions().matches(known.labels()))
			.orElseThrow(() -> refuse(RefusalCode.FORBIDDEN,
					"version " + id + " does not exist or is not allowed to account " + account.id()));
		if (!this.gate.offered(view, id)) {
			throw refuse(RefusalCode.NO_ALLOWED_VERSION, "version " + id + " is withdrawn");
		}
		return this.latencies.candidate(version, maxTokens);
	}

	static RefusedException refuse(RefusalCode code, String reason) {
		return new RefusedException(Refusal.notRun(code, reason));
	}

}
