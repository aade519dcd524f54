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
 * Looks up the account, request class, session and allowed versions of a request in the
 * configuration. Rejects requests for which one of them is missing or invalid; nothing
 * has been run at that point. Thread-safe.
 */
final class ChatResolver {

	private static final Logger LOG = LoggerFactory.getLogger(ChatResolver.class);

	/**
	 * Typical number of characters in one token, to estimate the prompt's length before
	 * the engine has counted its tokens.
	 */
	private static final int CHARACTERS_PER_TOKEN = 4;

	private final Catalogue catalogue;

	private final VersionEligibility eligibility;

	private final SessionTokens sessions;

	private final LatencyEstimates latencies;

	private final Clock clock;

	private final AccountIndex accounts = new AccountIndex();

	ChatResolver(Catalogue catalogue, VersionEligibility eligibility, SessionTokens sessions,
			LatencyEstimates latencies, Clock clock) {
		this.catalogue = catalogue;
		this.eligibility = eligibility;
		this.sessions = sessions;
		this.latencies = latencies;
		this.clock = clock;
	}

	ResolvedChat resolve(ChatRequest request) throws RefusedException {
		CatalogueView view = this.catalogue.view();
		ClientAccount account = account(view, request.caller());
		checkFreshness();
		RequestClass requestClass = requestClass(view, request.caller());
		Optional<SessionTokens.Session> session = verifySession(view, account, request.caller());
		RequestFacts facts = createFacts(request, account, requestClass, session);
		List<Candidate> candidates = candidates(view, account, requestClass, request, session);
		return new ResolvedChat(request, view, account, requestClass, facts, candidates, session);
	}

	ClientAccount account(CatalogueView view, CallerContext caller) throws RefusedException {
		return this.accounts.find(view, caller.accountKey())
			.orElseThrow(() -> refusal(RefusalCode.UNAUTHENTICATED, "the account key is missing or unknown"));
	}

	/**
	 * Returns the identifier of the caller's account, for metrics and explanations.
	 * @param caller the parameters of the caller
	 * @return the identifier, or {@code unknown} if no account has the caller's key
	 */
	String accountName(CallerContext caller) {
		return this.accounts.find(this.catalogue.view(), caller.accountKey())
			.map((account) -> account.id().value())
			.orElse("unknown");
	}

	void checkFreshness() throws RefusedException {
		Optional<Refusal> refusal = this.eligibility.checkFreshness(false);
		if (refusal.isPresent()) {
			throw new RefusedException(refusal.get());
		}
	}

	private static RequestClass requestClass(CatalogueView view, CallerContext caller) throws RefusedException {
		ClassId id = caller.requestClass()
			.orElseThrow(() -> refusal(RefusalCode.BAD_REQUEST, "the request class is missing"));
		return view.requestClass(id)
			.orElseThrow(() -> refusal(RefusalCode.NOT_FOUND, "request class " + id + " does not exist"));
	}

	private Optional<SessionTokens.Session> verifySession(CatalogueView view, ClientAccount account,
			CallerContext caller) throws RefusedException {
		if (caller.session().isEmpty()) {
			return Optional.empty();
		}
		Optional<SessionTokens.Session> session = this.sessions.verify(caller.session().get())
			.filter((verified) -> verified.account().equals(account.id()));
		if (session.isEmpty()) {
			LOG.warn(RouterEvents.SESSION_REFUSED, account.id(),
					"it is invalid, belongs to another account or was signed with an unknown key");
			throw refusal(RefusalCode.SESSION_REFUSED, "the session token is not one of this account's");
		}
		VersionId version = session.get().version();
		if (!this.eligibility.isOffered(view, version)) {
			throw refusal(RefusalCode.SESSION_VERSION_WITHDRAWN,
					"version " + version + " of this session was withdrawn; begin a new session");
		}
		return session;
	}

	private RequestFacts createFacts(ChatRequest request, ClientAccount account, RequestClass requestClass,
			Optional<SessionTokens.Session> session) throws RefusedException {
		CallerContext caller = request.caller();
		Duration deadline = caller.deadline().orElse(requestClass.deadline());
		if (deadline.isNegative() || deadline.isZero()) {
			throw refusal(RefusalCode.DEADLINE_IMPOSSIBLE, "the deadline has passed");
		}
		String text = Digests.promptText(request.messages());
		return new RequestFacts(caller.id(), account.id(), requestClass.id(),
				caller.qualityTarget().orElse(requestClass.qualityTarget()),
				this.clock.monotonicMillis() + deadline.toMillis(), text.length() / CHARACTERS_PER_TOKEN + 1,
				request.maxTokens(), request.streamed(), session.map(SessionTokens.Session::version),
				caller.beginSession(), Digests.prefixHash(text), Digests.fingerprint(account.id().value(), text),
				account.priority());
	}

	private List<Candidate> candidates(CatalogueView view, ClientAccount account, RequestClass requestClass,
			ChatRequest request, Optional<SessionTokens.Session> session) throws RefusedException {
		Optional<VersionId> pinned = session.map(SessionTokens.Session::version).or(request::version);
		List<ModelVersion> allowed = view.allowedVersions(account, requestClass)
			.stream()
			.filter((version) -> this.eligibility.isOffered(view, version.id()))
			.toList();
		if (pinned.isPresent()) {
			return List.of(pinnedCandidate(view, account, pinned.get(), request.maxTokens()));
		}
		List<Candidate> candidates = allowed.stream()
			.filter((version) -> !VersionEligibility.isCandidate(view, version.id()))
			.map((version) -> this.latencies.estimate(version, request.maxTokens()))
			.toList();
		if (candidates.isEmpty()) {
			throw refusal(RefusalCode.NO_ALLOWED_VERSION,
					"no offered version of class " + requestClass.id() + " is allowed to account " + account.id());
		}
		return candidates;
	}

	private Candidate pinnedCandidate(CatalogueView view, ClientAccount account, VersionId id, int maxTokens)
			throws RefusedException {
		ModelVersion version = view.version(id)
			.filter((known) -> account.allowedVersions().matches(known.labels()))
			.orElseThrow(() -> refusal(RefusalCode.FORBIDDEN,
					"version " + id + " does not exist or is not allowed to account " + account.id()));
		if (!this.eligibility.isOffered(view, id)) {
			throw refusal(RefusalCode.NO_ALLOWED_VERSION, "version " + id + " is withdrawn");
		}
		return this.latencies.estimate(version, maxTokens);
	}

	static RefusedException refusal(RefusalCode code, String reason) {
		return new RefusedException(Refusal.notRun(code, reason));
	}

}
