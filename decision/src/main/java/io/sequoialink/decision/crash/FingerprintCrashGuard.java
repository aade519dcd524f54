package io.sequoialink.decision.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import io.sequoialink.decision.Attempt;
import io.sequoialink.decision.CrashGuard;
import io.sequoialink.decision.RequestFacts;
import io.sequoialink.model.Brake;
import io.sequoialink.model.HostId;
import io.sequoialink.model.Refusal;
import io.sequoialink.model.RefusalCode;
import io.sequoialink.model.RequestId;

/**
 * Blocks a request fingerprint on all hosts after its second crash, or after its third if
 * this host got a complete response for it before.
 *
 * <p>
 * When a server stops responding, every request in progress there becomes suspect. A
 * suspect runs only on the host to which rendezvous hashing assigns its fingerprint (the
 * owner), one suspect at a time per host, on a server that runs nothing else of this host
 * (a trial; see {@link #requiresExclusiveServer}). A second crash then has only one
 * possible cause among the requests, and a request that merely happened to be in progress
 * at the first crash is cleared by its first complete response. An innocent fingerprint
 * is blocked only if servers fail for other reasons twice during trials of the same
 * fingerprint.
 *
 * <p>
 * Invariants: no request is rejected permanently without a second crash; a request is
 * never rejected because of another fingerprint. Thread-safe: one lock guards all state;
 * the owner predicate is called under it and must not block.
 */
public final class FingerprintCrashGuard implements CrashGuard {

	private static final Set<String> INCONCLUSIVE_OUTCOMES = Set.of("rejected", "overloaded", "unreachable",
			"cancelled", "caller_gone");

	private static final Duration TRIAL_RETRY_AFTER = Duration.ofMillis(200);

	private final HostId self;

	private final Predicate<String> owner;

	private final LongSupplier revision;

	private final CrashSettings settings;

	private final Map<String, Suspect> suspects = new LinkedHashMap<>();

	private final Map<String, Long> stopOrders = new LinkedHashMap<>();

	private final Map<String, Boolean> completedBefore = new LinkedHashMap<>();

	private Optional<Trial> trial = Optional.empty();

	/**
	 * Creates the guard of one host.
	 * @param self this host
	 * @param owner whether rendezvous hashing assigns a fingerprint to this host; must
	 * not block
	 * @param revision configuration revision that is written into stop orders
	 * @param settings the parameters
	 */
	public FingerprintCrashGuard(HostId self, Predicate<String> owner, LongSupplier revision, CrashSettings settings) {
		this.self = self;
		this.owner = owner;
		this.revision = revision;
		this.settings = settings;
	}

	@Override
	public synchronized Optional<Refusal> beforeDispatch(RequestFacts request, long nowMillis) {
		String fingerprint = request.fingerprint();
		if (this.stopOrders.containsKey(fingerprint)) {
			return Optional.of(Refusal.notRun(RefusalCode.REQUEST_BRAKED,
					"Requests with this content crashed backend servers; this one was not run."));
		}
		if (!suspect(fingerprint, nowMillis)) {
			return Optional.empty();
		}
		if (!this.owner.test(fingerprint)) {
			return Optional.of(retryLater("Requests with this content are tried on another host only."));
		}
		boolean busy = this.trial.filter((running) -> !running.request.equals(request.id()))
			.filter((running) -> nowMillis - running.begunAtMillis < this.settings.trialMillis())
			.isPresent();
		if (busy) {
			return Optional.of(retryLater("A request that may crash backend servers is being tried."));
		}
		this.trial = Optional.of(new Trial(request.id(), nowMillis));
		return Optional.empty();
	}

	private static Refusal retryLater(String reason) {
		return Refusal.notRun(RefusalCode.OVERLOADED, reason).retryAfter(TRIAL_RETRY_AFTER);
	}

	@Override
	public synchronized boolean requiresExclusiveServer(RequestFacts request, long nowMillis) {
		return suspect(request.fingerprint(), nowMillis);
	}

	/**
	 * Returns whether a suspect request has to be forwarded to the host that owns its
	 * fingerprint.
	 * @param request the request
	 * @param nowMillis current time in milliseconds
	 * @return whether the request is suspect and its fingerprint is assigned to another
	 * host
	 */
	public synchronized boolean belongsElsewhere(RequestFacts request, long nowMillis) {
		return suspect(request.fingerprint(), nowMillis) && !this.owner.test(request.fingerprint());
	}

	private boolean suspect(String fingerprint, long nowMillis) {
		Suspect suspect = this.suspects.get(fingerprint);
		return suspect != null && suspect.crashes > 0 && nowMillis - suspect.atMillis < this.settings.suspicionMillis();
	}

	@Override
	public synchronized Optional<Brake> afterAttempt(RequestFacts request, Attempt attempt, boolean serverCrashed,
			long nowMillis) {
		boolean inTrial = this.trial.filter((running) -> running.request.equals(request.id())).isPresent();
		if (inTrial) {
			this.trial = Optional.empty();
		}
		if (serverCrashed) {
			return recordCrash(request.fingerprint(), inTrial, nowMillis);
		}
		if (!INCONCLUSIVE_OUTCOMES.contains(attempt.outcome())) {
			recordResponse(request.fingerprint(), nowMillis);
		}
		return Optional.empty();
	}

	private Optional<Brake> recordCrash(String fingerprint, boolean inTrial, long nowMillis) {
		boolean suspected = suspect(fingerprint, nowMillis);
		int before = suspected ? this.suspects.get(fingerprint).crashes : 0;
		// A crash outside a trial, of a request that was sent before its fingerprint was
		// suspect, adds nothing.
		int crashes = inTrial ? Math.max(1, before) + 1 : Math.max(1, before);
		int needed = this.settings.crashesToBlock() + (this.completedBefore.containsKey(fingerprint) ? 1 : 0);
		if (crashes < needed) {
			putSuspect(fingerprint, new Suspect(crashes, nowMillis));
			return Optional.empty();
		}
		Brake brake = new Brake(Brake.Scope.FINGERPRINT, fingerprint,
				crashes + " backend servers stopped answering while they ran this content", this.self,
				this.revision.getAsLong(), nowMillis);
		accept(brake);
		return Optional.of(brake);
	}

	// Remembers the complete response, so that older suspicions of peers are not accepted
	// again and one more crash is needed to block the fingerprint.
	private void recordResponse(String fingerprint, long nowMillis) {
		Suspect cleared = this.suspects.get(fingerprint);
		if (cleared != null && cleared.crashes > 0) {
			putSuspect(fingerprint, new Suspect(0, nowMillis));
		}
		this.completedBefore.put(fingerprint, true);
		if (this.completedBefore.size() > this.settings.maxSuspects()) {
			this.completedBefore.remove(this.completedBefore.keySet().iterator().next());
		}
	}

	private void putSuspect(String fingerprint, Suspect suspect) {
		this.suspects.remove(fingerprint);
		this.suspects.put(fingerprint, suspect);
		while (this.suspects.size() > this.settings.maxSuspects()) {
			this.suspects.remove(this.suspects.keySet().iterator().next());
		}
	}

	@Override
	public synchronized List<String> suspectedFingerprints(long nowMillis) {
		List<String> live = new ArrayList<>();
		this.suspects.keySet().forEach((fingerprint) -> {
			if (suspect(fingerprint, nowMillis)) {
				live.add(fingerprint);
			}
		});
		return live;
	}

	@Override
	public synchronized void addPeerSuspicion(HostId peer, String fingerprint, long nowMillis) {
		if (!peer.equals(this.self) && !this.suspects.containsKey(fingerprint)) {
			putSuspect(fingerprint, new Suspect(1, nowMillis));
		}
	}

	@Override
	public synchronized void accept(Brake brake) {
		if (brake.scope() == Brake.Scope.FINGERPRINT) {
			this.stopOrders.merge(brake.target(), brake.revision(), Math::max);
			this.suspects.remove(brake.target());
		}
	}

	/**
	 * Ends a stop order because of a configuration change.
	 * @param fingerprint the fingerprint
	 * @param releaseRevision revision of the change; stop orders of earlier revisions end
	 */
	public synchronized void endStopOrder(String fingerprint, long releaseRevision) {
		Long set = this.stopOrders.get(fingerprint);
		if (set != null && set < releaseRevision) {
			this.stopOrders.remove(fingerprint);
		}
	}

	/**
	 * What is held against a fingerprint: the number of crashes counted against it, or 0
	 * once a complete response has cleared it, and the time of the last change in
	 * milliseconds. Immutable and thread-safe.
	 */
	private record Suspect(int crashes, long atMillis) {
	}

	/**
	 * The request that currently runs on a server of its own (trial), with its start in
	 * milliseconds. Immutable and thread-safe.
	 */
	private record Trial(RequestId request, long begunAtMillis) {
	}

}
