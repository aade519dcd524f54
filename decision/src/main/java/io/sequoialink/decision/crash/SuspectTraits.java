package io.sequoialink.decision.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Traits of requests that are suspected or known to crash backend servers, as all hosts
 * know them, and the verdicts that follow. Confined to one thread.
 *
 * <p>
 * Invariants: merging is commutative, associative and idempotent, so hosts that have
 * exchanged the same news agree; while a trait is suspected, about one request with it
 * runs at a time; a request is blocked only if it has all traits of a culprit that got no
 * response since; a culprit stays one until such a response, or until an operator lifts
 * it.
 */
public final class SuspectTraits {

	/**
	 * Time after which a suspicion takes effect, in nanoseconds. Until then, responses of
	 * other hosts clear the traits that many requests have.
	 */
	public static final long HOLD_DELAY_NANOS = 200_000_000L;

	/**
	 * Time after which a trial without a result no longer prevents the next, in
	 * nanoseconds.
	 */
	static final long TRIAL_NANOS = 3_000_000_000L;

	/**
	 * Time for which a request with several suspected traits does not run, in
	 * nanoseconds. A trial of a request with only one of them tells more.
	 */
	static final long SEPARATION_NANOS = 1_000_000_000L;

	/** Largest error of times that hosts exchange as ages, in nanoseconds. */
	private static final long TOLERANCE_NANOS = 100_000_000L;

	private static final int MAX_TRAITS = 4096;

	private static final int MAX_CULPRITS = 1024;

	private final Map<Long, TraitState> states = new HashMap<>();

	private final Map<Set<Long>, CulpritState> culprits = new LinkedHashMap<>();

	/**
	 * Returns whether nothing is known, so that requests need not be checked.
	 * @return whether no trait is suspected or known to crash servers
	 */
	public boolean isEmpty() {
		return this.states.isEmpty() && this.culprits.isEmpty();
	}

	/**
	 * Merges a state.
	 * @param trait the trait
	 * @param state what a host knows of it
	 * @return whether it was news
	 */
	public boolean merge(long trait, TraitState state) {
		TraitState before = this.states.getOrDefault(trait, TraitState.UNKNOWN);
		TraitState merged = before.merge(state);
		boolean news = state.addsTo(before, TOLERANCE_NANOS) || merged.suspected() != before.suspected();
		if (!news || (!this.states.containsKey(trait) && this.states.size() >= MAX_TRAITS)) {
			return false;
		}
		this.states.put(trait, merged);
		return true;
	}

	/**
	 * Records that a trait is suspected.
	 * @param trait the trait
	 * @param suspicion why
	 * @return whether it was news
	 */
	public boolean suspect(long trait, CrashEvidence.Suspicion suspicion) {
		return merge(trait, TraitState.suspected(suspicion));
	}

	/**
	 * Records that a response to a request with a trait has begun.
	 * @param trait the trait
	 * @param atNanos monotonic time at which it had begun
	 * @return whether it was news
	 */
	public boolean clear(long trait, long atNanos) {
		return merge(trait, TraitState.cleared(atNanos));
	}

	/**
	 * Records that another trait is the culprit, or that too few crashes count against a
	 * trait now.
	 * @param trait the trait
	 * @param atNanos monotonic time of that finding
	 * @return whether it was news
	 */
	public boolean withdraw(long trait, long atNanos) {
		return merge(trait, TraitState.withdrawn(atNanos));
	}

	/**
	 * Records that a request is sent to find out whether its suspected traits crash its
	 * server.
	 * @param trait one of the traits
	 * @param atNanos monotonic time
	 */
	public void startTrial(long trait, long atNanos) {
		this.states.merge(trait, TraitState.trial(atNanos), TraitState::merge);
	}

	/**
	 * Returns what is known of a trait.
	 * @param trait the trait
	 * @return the state, if there is one
	 */
	public Optional<TraitState> state(long trait) {
		return Optional.ofNullable(this.states.get(trait));
	}

	/**
	 * Returns the suspected traits.
	 * @return the traits
	 */
	public List<Long> suspected() {
		return this.states.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().suspected())
			.map(Map.Entry::getKey)
			.toList();
	}

	/**
	 * Returns the suspected traits whose suspicion has taken effect.
	 * @param nowNanos current monotonic time in nanoseconds
	 * @return the traits
	 */
	public Set<Long> heldTraits(long nowNanos) {
		return new HashSet<>(held(this.states.keySet(), nowNanos).keySet());
	}

	/**
	 * Records that traits crash servers.
	 * @param traits the traits
	 * @param state number and time of the crashes
	 * @return whether it was news
	 */
	public boolean convict(Set<Long> traits, CulpritState state) {
		CulpritState known = this.culprits.get(traits);
		if (traits.isEmpty() || (known != null && known.atNanos() >= state.atNanos() - TOLERANCE_NANOS)
				|| (known == null && this.culprits.size() >= MAX_CULPRITS)) {
			return false;
		}
		this.culprits.put(Set.copyOf(traits), state);
		return known == null || known.lifted();
	}

	/**
	 * Returns the culprits that are in force.
	 * @return for each set of traits, those that got no response since, without sets that
	 * contain another one
	 */
	public Collection<Set<Long>> culprits() {
		List<Set<Long>> inForce = new ArrayList<>();
		this.culprits.forEach((traits, state) -> {
			Set<Long> remaining = remaining(traits, state);
			if (!remaining.isEmpty()) {
				inForce.add(remaining);
			}
		});
		return inForce.stream().distinct().filter((culprit) -> minimal(culprit, inForce)).toList();
	}

	private static boolean minimal(Set<Long> culprit, List<Set<Long>> all) {
		return all.stream().noneMatch((other) -> other.size() < culprit.size() && culprit.containsAll(other));
	}

	/**
	 * Returns all culprits with their states, also those that were lifted.
	 * @return states by traits
	 */
	public Map<Set<Long>, CulpritState> culpritStates() {
		return Map.copyOf(this.culprits);
	}

	/**
	 * Returns the culprits that were refuted by responses to requests with each of their
	 * traits.
	 * @return sets of traits that are not lifted yet
	 */
	public List<Set<Long>> refutedByResponses() {
		return this.culprits.entrySet()
			.stream()
			.filter((entry) -> !entry.getValue().lifted() && remaining(entry.getKey(), entry.getValue()).isEmpty())
			.map(Map.Entry::getKey)
			.toList();
	}

	private Set<Long> remaining(Set<Long> traits, CulpritState state) {
		if (state.lifted()) {
			return Set.of();
		}
		Set<Long> remaining = new HashSet<>(traits);
		remaining
			.removeIf((trait) -> this.states.getOrDefault(trait, TraitState.UNKNOWN).clearedNanos() > state.atNanos());
		return remaining;
	}

	/**
	 * Returns whether a request may run.
	 * @param traits traits of the request
	 * @param nowNanos current monotonic time in nanoseconds
	 * @return the verdict
	 */
	public TraitVerdict verdict(Set<Long> traits, long nowNanos) {
		for (Map.Entry<Set<Long>, CulpritState> entry : this.culprits.entrySet()) {
			Set<Long> remaining = remaining(entry.getKey(), entry.getValue());
			if (!remaining.isEmpty() && traits.containsAll(remaining)) {
				return new TraitVerdict(TraitVerdict.Kind.BLOCKED, remaining, entry.getValue().crashes());
			}
		}
		Map<Long, TraitState> held = held(traits, nowNanos);
		if (held.isEmpty()) {
			return TraitVerdict.FREE;
		}
		int crashes = held.values().stream().mapToInt(TraitState::crashes).max().orElse(0);
		boolean mayRun = held.values().stream().noneMatch((state) -> onTrial(state, nowNanos)) && (held.size() == 1
				|| held.values().stream().allMatch((state) -> nowNanos - state.suspectedNanos() > SEPARATION_NANOS));
		return new TraitVerdict(mayRun ? TraitVerdict.Kind.TRIAL : TraitVerdict.Kind.HELD, held.keySet(), crashes);
	}

	private Map<Long, TraitState> held(Set<Long> traits, long nowNanos) {
		Map<Long, TraitState> held = new HashMap<>();
		for (long trait : traits) {
			TraitState state = this.states.get(trait);
			if (state != null && state.suspected() && nowNanos - state.suspectedNanos() >= HOLD_DELAY_NANOS) {
				held.put(trait, state);
			}
		}
		return held;
	}

	private static boolean onTrial(TraitState state, long nowNanos) {
		return state.trialNanos() > state.suspectedNanos() && nowNanos - state.trialNanos() < TRIAL_NANOS;
	}

	/**
	 * Removes what is known of traits that were not suspected for a long time.
	 * @param nowNanos current monotonic time in nanoseconds
	 */
	public void expire(long nowNanos) {
		Set<Long> ofCulprits = new HashSet<>();
		this.culprits.keySet().forEach(ofCulprits::addAll);
		this.states.entrySet()
			.removeIf((entry) -> !ofCulprits.contains(entry.getKey())
					&& nowNanos - entry.getValue().newestNanos() > CrashEvidence.RETENTION_NANOS);
	}

	/**
	 * Called after this host was suspended, while its monotonic clock may have stood
	 * still. Removes all suspicions; culprits stay.
	 * @param nanos how long the host was suspended, in nanoseconds
	 */
	public void suspended(long nanos) {
		this.states.clear();
		this.culprits
			.replaceAll((traits, state) -> new CulpritState(state.crashes(), state.atNanos() - nanos, state.lifted()));
	}

}
