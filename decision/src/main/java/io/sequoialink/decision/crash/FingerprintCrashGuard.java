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
 * Brakes a fingerprint after its second crash, or after its third where its content gave
 * a whole answer on this host before.
 * <p>
 * A server that stops answering makes every request in flight there a suspect. A suspect
 * runs only on its owner, one suspect at a time in each host, on a server that runs
 * nothing else of this host: see {@link #needsSoleServer}. So the second crash, if there
 * is one, has one possible cause among the requests, and a request that was merely
 * present at the first crash is cleared by its first whole answer. A server that fails by
 * itself twice during trials of the same fingerprint is the one way to brake an innocent
 * one.
 * <p>
 * Invariants: without a second crash nothing is refused for good; a request is never
 * refused for another's fingerprint. Thread-safe: one lock guards all state; the owner
 * predicate is called under it and must not block.
 */
public final class FingerprintCrashGuard implements CrashGuard {

	private static final Set<String> WITHOUT_VERDICT = Set.of("rejected", "overloaded", "unreachable", "cancelled",
			"caller_gone");

	private static final Duration TRIAL_RETRY = Duration.ofMillis(200);

	private final HostId self;

	private final Predicate<String> owner;

	private final LongSupplier revision;

	private final CrashSettings settings;

	private final Map<String, Suspect> suspects = new LinkedHashMap<>();

	private final Map<String, Long> brakes = new LinkedHashMap<>();

	private final Map<String, Boolean> proven = new LinkedHashMap<>();

	private Optional<Trial> trial = Optional.empty();

	/**
	 * Creates the guard of one host.
	 * @param self this host
	 * @param owner whether this host owns a fingerprint by rendezvous hashing; must not
	 * block
	 * @param revision the configuration revision for brakes
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
		if (this.brakes.containsKey(fingerprint)) {
			return Optional.of(Refusal.notRun(RefusalCode.REQUEST_BRAKED,
					"Requests with this content crashed backend servers; this one was not run."));
		}
		if (!suspect(fingerprint, nowMillis)) {
			return Optional.empty();
		}
		if (!this.owner.test(fingerprint)) {
			return Optional.of(wait("Requests with this content are tried on another host only."));
		}
		boolean busy = this.trial.filter((running) -> !running.request.equals(request.id()))
			.filter((running) -> nowMillis - running.begunAtMillis < this.settings.trialMillis())
			.isPresent();
		if (busy) {
			return Optional.of(wait("A request that may crash backend servers is being tried."));
		}
		this.trial = Optional.of(new Trial(request.id(), nowMillis));
		return Optional.empty();
	}

	private static Refusal wait(String reason) {
		return Refusal.notRun(RefusalCode.OVERLOADED, reason).retryAfter(TRIAL_RETRY);
	}

	@Override
	public synchronized boolean needsSoleServer(RequestFacts request, long nowMillis) {
		return suspect(request.fingerprint(), nowMillis);
	}

	/**
	 * Returns whether this host may try a suspect; the router hands it to the owner
	 * otherwise.
	 * @param request the request
	 * @param nowMillis the injected clock
	 * @return whether the request belongs to another host
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
		boolean tried = this.trial.filter((running) -> running.request.equals(request.id())).isPresent();
		if (tried) {
			this.trial = Optional.empty();
		}
		if (serverCrashed) {
			return crashed(request.fingerprint(), tried, nowMillis);
		}
		if (!WITHOUT_VERDICT.contains(attempt.outcome())) {
			clear(request.fingerprint(), nowMillis);
		}
		return Optional.empty();
	}

	private Optional<Brake> crashed(String fingerprint, boolean tried, long nowMillis) {
		boolean known = suspect(fingerprint, nowMillis);
		int before = known ? this.suspects.get(fingerprint).crashes : 0;
		// A crash beside a trial, of a request begun before it was suspect, adds nothing.
		int crashes = tried ? Math.max(1, before) + 1 : Math.max(1, before);
		int needed = this.settings.crashesToBrake() + (this.proven.containsKey(fingerprint) ? 1 : 0);
		if (crashes < needed) {
			keep(fingerprint, new Suspect(crashes, nowMillis));
			return Optional.empty();
		}
		Brake brake = new Brake(Brake.Scope.FINGERPRINT, fingerprint,
				crashes + " backend servers stopped answering while they ran this content", this.self,
				this.revision.getAsLong(), nowMillis);
		accept(brake);
		return Optional.of(brake);
	}

	// Keeps that the content gave a whole answer, so that old suspicions of peers do not
	// come back and one crash more is needed to brake it.
	private void clear(String fingerprint, long nowMillis) {
		Suspect cleared = this.suspects.get(fingerprint);
		if (cleared != null && cleared.crashes > 0) {
			keep(fingerprint, new Suspect(0, nowMillis));
		}
		this.proven.put(fingerprint, true);
		if (this.proven.size() > this.settings.maxSuspects()) {
			this.proven.remove(this.proven.keySet().iterator().next());
		}
	}

	private void keep(String fingerprint, Suspect suspect) {
		this.suspects.remove(fingerprint);
		this.suspects.put(fingerprint, suspect);
		while (this.suspects.size() > this.settings.maxSuspects()) {
			this.suspects.remove(this.suspects.keySet().iterator().next());
		}
	}

	@Override
	public synchronized List<String> suspects(long nowMillis) {
		List<String> live = new ArrayList<>();
		this.suspects.keySet().forEach((fingerprint) -> {
			if (suspect(fingerprint, nowMillis)) {
				live.add(fingerprint);
			}
		});
		return live;
	}

	@Override
	public synchronized void suspect(HostId peer, String fingerprint, long nowMillis) {
		if (!peer.equals(this.self) && !this.suspects.containsKey(fingerprint)) {
			keep(fingerprint, new Suspect(1, nowMillis));
		}
	}

	@Override
	public synchronized void accept(Brake brake) {
		if (brake.scope() == Brake.Scope.FINGERPRINT) {
			this.brakes.merge(brake.target(), brake.revision(), Math::max);
			this.suspects.remove(brake.target());
		}
	}

	/**
	 * Releases a brake, as a change of the configuration says.
	 * @param fingerprint the fingerprint
	 * @param releaseRevision revision of the change; older brakes end
	 */
	public synchronized void release(String fingerprint, long releaseRevision) {
		Long set = this.brakes.get(fingerprint);
		if (set != null && set < releaseRevision) {
			this.brakes.remove(fingerprint);
		}
	}

	/** A suspected fingerprint. Immutable and thread-safe. */
	private record Suspect(int crashes, long atMillis) {
	}

	/** The trial under way. Immutable and thread-safe. */
	private record Trial(RequestId request, long begunAtMillis) {
	}

}
