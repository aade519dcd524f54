package io.sequoialink.gateway.crash;

import java.net.InetAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import io.sequoialink.decision.crash.CrashEvidence;
import io.sequoialink.decision.crash.CulpritState;
import io.sequoialink.decision.crash.Involvement;
import io.sequoialink.decision.crash.SuspectTraits;
import io.sequoialink.decision.crash.TraitState;
import io.sequoialink.decision.crash.TraitVerdict;
import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.feed.EventLoopTimer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds out, together with the other hosts, which traits of requests crash backend
 * servers, and keeps requests with them from reaching further servers. Confined to the
 * event loop.
 *
 * <p>
 * A host reports what it lost in a crash to a few hosts ({@link NewsCollectors}), which
 * judge all reports together. What follows, suspected traits, trials, responses that
 * clear them and culprits, reaches all hosts by gossip; culprits are also kept in the
 * store.
 */
public final class TraitCoordinator implements CulpritListener {

	private static final Logger logger = LoggerFactory.getLogger(TraitCoordinator.class);

	/**
	 * Time in which the requests that this host lost in one crash are collected into one
	 * report, in milliseconds.
	 */
	static final long REPORT_DELAY_MILLIS = 10;

	/** Time after which a report is sent once more, in milliseconds. */
	static final long REPORT_REPEAT_MILLIS = 150;

	/** Time after which the reports of a crash are complete, in milliseconds. */
	private static final long REPORTS_MILLIS = TimeUnit.NANOSECONDS.toMillis(CrashEvidence.REPORT_DELAY_NANOS) + 5;

	/** Time between two rounds from which this host has stood still, in nanoseconds. */
	private static final long MAX_ROUND_GAP_NANOS = 1_000_000_000L;

	/** Time over which news are collected before they are judged, in milliseconds. */
	private static final long JUDGEMENT_DELAY_MILLIS = 10;

	private final SuspectTraits traits = new SuspectTraits();

	private final CrashEvidence evidence = new CrashEvidence();

	private final AbandonedRequests abandoned = new AbandonedRequests();

	private final TraitLabels labels = new TraitLabels();

	private final Set<WatchedRequest> watched = new HashSet<>();

	private final Map<Long, TraitNews.LostTraits> unreported = new HashMap<>();

	private final CulpritRecords records;

	private final Set<Long> suspectedHere = new HashSet<>();

	private Set<Long> loggedHeld = new HashSet<>();

	private String judgementCause = "";

	private long lastRoundNanos;

	private final TraitGossip gossip;

	private final EventLoopTimer timer;

	private final LongSupplier clock;

	private final LongFunction<String> serverNames;

	private Runnable explanationsChanged = () -> {
	};

	private Set<Long> explained = Set.of();

	/**
	 * Creates a coordinator that knows of no crash.
	 * @param gossip exchanges news with other hosts
	 * @param store keeps culprits
	 * @param timer schedules tasks
	 * @param clock monotonic time in nanoseconds
	 * @param random spreads writes to the store
	 * @param serverNames returns the name of a server incarnation for log lines, given
	 * its hash
	 */
	public TraitCoordinator(TraitGossip gossip, CulpritStore store, EventLoopTimer timer, LongSupplier clock,
			RandomGenerator random, LongFunction<String> serverNames) {
		this.gossip = gossip;
		this.records = new CulpritRecords(store, this.traits::culpritStates, this::describe, gossip::isCollector, timer,
				clock, random);
		this.timer = timer;
		this.clock = clock;
		this.serverNames = serverNames;
	}

	/**
	 * Sets the action that runs when the set of {@link #explained} crashes has changed.
	 * @param action the action
	 */
	public void onExplanationsChanged(Runnable action) {
		this.explanationsChanged = action;
	}

	/**
	 * Returns whether a culprit explains the crash of a server.
	 * @param server hash of the server's incarnation
	 * @return whether the crash counts against nothing else
	 */
	public boolean explained(long server) {
		return this.explained.contains(server);
	}

	/**
	 * Returns whether no trait is suspected or known to crash servers.
	 * @return whether no request needs to be checked
	 */
	public boolean idle() {
		return this.traits.isEmpty() && this.evidence.isEmpty();
	}

	/**
	 * Returns whether a request may run.
	 * @param ofRequest traits of the request
	 * @return the verdict
	 */
	public TraitVerdict verdict(Set<Long> ofRequest) {
		if (ofRequest.isEmpty() || this.traits.isEmpty()) {
			return TraitVerdict.FREE;
		}
		return this.traits.verdict(ofRequest, this.clock.getAsLong());
	}

	/**
	 * Returns text that names traits in log lines.
	 * @param named the traits
	 * @return the text
	 */
	public String describe(Collection<Long> named) {
		return this.labels.describe(named);
	}

	/**
	 * Sets the text that names a trait in log lines.
	 * @param trait the trait
	 * @param label the text
	 */
	public void name(long trait, String label) {
		this.labels.put(trait, label);
	}

	/**
	 * Records that a request with suspected traits is sent to find out whether they crash
	 * its server.
	 * @param requestId identifier of the request
	 * @param verdict the verdict on it
	 */
	public void trialStarted(String requestId, TraitVerdict verdict) {
		long now = this.clock.getAsLong();
		logger.info(GatewayEvents.TRIAL_STARTED, requestId, describe(verdict.traits()), verdict.crashes());
		verdict.traits().forEach((trait) -> {
			this.traits.startTrial(trait, now);
			this.gossip.stateChanged(trait);
		});
		this.gossip.markUrgent();
		this.gossip.sendNow(this.evidence, this.traits, this.labels);
	}

	/**
	 * Calls back if a request must not run any more, before its response has begun.
	 * @param ofRequest traits of the request
	 * @param blocked called once when the request is blocked
	 * @return handle that ends the watch
	 */
	public Runnable watch(Set<Long> ofRequest, Runnable blocked) {
		if (ofRequest.isEmpty()) {
			return () -> {
			};
		}
		WatchedRequest request = new WatchedRequest(ofRequest, blocked);
		this.watched.add(request);
		return () -> this.watched.remove(request);
	}

	/**
	 * Records that the response to a request has begun and its server has not crashed.
	 * @param ofRequest traits of the request
	 */
	public void responseBegan(Set<Long> ofRequest) {
		long now = this.clock.getAsLong();
		boolean changed = false;
		for (long trait : ofRequest) {
			boolean matters = relevant(trait);
			this.evidence.recordResponse(trait, now);
			if (matters) {
				changed |= clear(trait, now);
			}
		}
		if (changed) {
			judgeSoon("a response on this host");
		}
	}

	private boolean relevant(long trait) {
		return this.evidence.open(trait) || this.traits.state(trait).filter(TraitState::suspected).isPresent()
				|| this.traits.culprits().stream().anyMatch((culprit) -> culprit.contains(trait));
	}

	private boolean clear(long trait, long atNanos) {
		if (!this.traits.clear(trait, atNanos)) {
			return false;
		}
		this.gossip.stateChanged(trait);
		this.gossip.markUrgent();
		return true;
	}

	/**
	 * Records that this host withdrew a request from its server, or lost it there for an
	 * unknown reason, before its response had begun. It counts once any host has proven
	 * that the server crashed.
	 * @param server hash of the server's incarnation
	 * @param ofRequest traits of the request
	 * @param involvement how it would be involved in a crash
	 */
	public void requestAbandoned(long server, Set<Long> ofRequest, Involvement involvement) {
		this.abandoned.add(server, ofRequest, involvement, this.clock.getAsLong());
	}

	/**
	 * Records that a server crashed while a request ran there whose response had not
	 * begun. What has been reported already, because another host had proven the crash
	 * before, is not reported again.
	 * @param server hash of the server's incarnation
	 * @param ofRequest traits of the request
	 * @param involvement how it was involved
	 * @param crashedNanos monotonic time of the crash
	 */
	public void serverCrashed(long server, Set<Long> ofRequest, Involvement involvement, long crashedNanos) {
		ofRequest.stream()
			.filter((trait) -> !this.evidence.knows(server, trait, involvement))
			.forEach((trait) -> addToReport(server, crashedNanos, trait, involvement));
	}

	private void addToReport(long server, long crashedNanos, long trait, Involvement involvement) {
		if (this.unreported.isEmpty()) {
			this.timer.schedule(this::report, REPORT_DELAY_MILLIS);
		}
		TraitNews.LostTraits lost = this.unreported.computeIfAbsent(server,
				(key) -> new TraitNews.LostTraits(server, crashedNanos, new HashMap<>(), new HashMap<>()));
		lost.involved().merge(trait, involvement, Involvement::merge);
		lost.labels().put(trait, this.labels.find(trait));
	}

	private void report() {
		this.unreported.values().forEach(this::recordCrash);
		List<TraitNews.LostTraits> lost = List.copyOf(this.unreported.values());
		this.unreported.clear();
		lost.forEach((crash) -> logger.info(GatewayEvents.CRASH_REPORTED, this.serverNames.apply(crash.server()),
				crash.involved().size(), describe(crash.involved().keySet())));
		this.gossip.reportCrashes(lost);
		this.timer.schedule(() -> this.gossip.reportCrashes(lost), REPORT_REPEAT_MILLIS);
		judgeSoon("a crash that this host observed");
	}

	// Adds what this host withdrew from the server before or lost there, as soon as it
	// knows of the crash.
	private void recordCrash(TraitNews.LostTraits crash) {
		long now = this.clock.getAsLong();
		if (this.evidence.recordCrash(crash.server(), crash.atNanos(), crash.involved(), now)) {
			this.timer.schedule(() -> judgeSoon("the reports of a crash"), REPORTS_MILLIS);
			this.gossip.crashKnown(crash.server());
			this.abandoned.involved(crash.server(), crash.atNanos()).forEach((trait, involvement) -> {
				this.evidence.recordCrash(crash.server(), crash.atNanos(), Map.of(trait, involvement), now);
				this.timer.schedule(() -> addToReport(crash.server(), crash.atNanos(), trait, involvement), 0);
			});
		}
	}

	// News mostly come several at a time, so one judgement follows all of them.
	private void judgeSoon(String cause) {
		if (this.judgementCause.isEmpty()) {
			this.timer.schedule(this::judge, JUDGEMENT_DELAY_MILLIS);
		}
		this.judgementCause = cause;
	}

	private void judge() {
		String cause = this.judgementCause;
		this.judgementCause = "";
		long now = this.clock.getAsLong();
		CrashEvidence.Findings findings = this.evidence.evaluate(this.traits.culprits(), now);
		findings.culprits().forEach((culprit) -> convict(culprit, now, cause));
		findings.suspects().forEach((trait, suspicion) -> suspect(trait, suspicion));
		for (long trait : List.copyOf(this.suspectedHere)) {
			if (!findings.suspects().containsKey(trait)) {
				withdraw(trait, now);
			}
		}
		updateExplanations();
		this.gossip.sendNow(this.evidence, this.traits, this.labels);
	}

	private void refute(Set<Long> culprit, long now, String cause) {
		lift(culprit, new CulpritState(0, now, true), cause);
		this.records.delete(culprit);
	}

	private void withdraw(long trait, long now) {
		this.suspectedHere.remove(trait);
		boolean suspected = this.traits.state(trait).filter(TraitState::suspected).isPresent();
		if (this.traits.withdraw(trait, now) && suspected) {
			this.gossip.stateChanged(trait);
		}
	}

	private void convict(CrashEvidence.Culprit found, long now, String cause) {
		CulpritState state = new CulpritState(found.servers().size(), now, false);
		if (this.traits.convict(found.traits(), state)) {
			List<String> servers = found.servers().stream().map(this.serverNames::apply).toList();
			announce(found.traits(), state, cause + ", servers " + servers);
			this.records.writeSoon(found.traits(), servers);
		}
	}

	private void announce(Set<Long> culprit, CulpritState state, String cause) {
		logger.warn(GatewayEvents.TRAITS_BLOCKED, describe(culprit), state.crashes(), cause);
		this.gossip.culpritChanged(culprit);
		for (WatchedRequest request : List.copyOf(this.watched)) {
			if (verdict(request.traits()).kind() == TraitVerdict.Kind.BLOCKED && this.watched.remove(request)) {
				request.blocked().run();
			}
		}
	}

	private void suspect(long trait, CrashEvidence.Suspicion suspicion) {
		this.suspectedHere.add(trait);
		if (this.traits.suspect(trait, suspicion)) {
			this.gossip.stateChanged(trait);
			this.gossip.markUrgent();
		}
	}

	private void updateExplanations() {
		Set<Long> now = this.evidence.explained(this.traits.culprits());
		if (!now.equals(this.explained)) {
			this.explained = now;
			this.explanationsChanged.run();
		}
	}

	@Override
	public void culpritRead(CulpritRecord read) {
		this.records.read(read.traits());
		read.traits().forEach((trait) -> this.labels.putIfAbsent(trait, read.label()));
		CulpritState state = new CulpritState(read.crashes(),
				this.clock.getAsLong() - TimeUnit.MILLISECONDS.toNanos(Math.max(0, read.ageMillis())), false);
		if (!this.traits.culpritStates().containsKey(read.traits()) && this.traits.convict(read.traits(), state)) {
			announce(read.traits(), state, "a record in the store");
			updateExplanations();
			return;
		}
		this.records.deleteIfLifted(read.traits(), state);
	}

	@Override
	public void storeReturned() {
		this.records.storeReturned();
	}

	@Override
	public void culpritDeleted(Set<Long> culprit) {
		this.records.deleted(culprit);
		CulpritState lifted = new CulpritState(0, this.clock.getAsLong(), true);
		boolean replaced = this.traits.culprits()
			.stream()
			.anyMatch((other) -> other.size() < culprit.size() && culprit.containsAll(other));
		if (replaced) {
			this.traits.convict(culprit, lifted);
			return;
		}
		for (Set<Long> wider : this.traits.culpritStates().keySet()) {
			if (wider.containsAll(culprit)) {
				lift(wider, lifted, "its record in the store was deleted");
			}
		}
	}

	private void lift(Set<Long> culprit, CulpritState state, String cause) {
		CulpritState known = this.traits.culpritStates().get(culprit);
		this.traits.convict(culprit, state);
		if (known != null && !known.lifted()) {
			logger.warn(GatewayEvents.TRAITS_PERMITTED, describe(culprit), cause);
			culprit.forEach((trait) -> this.evidence.recordResponse(trait, state.atNanos()));
			this.gossip.culpritChanged(culprit);
			updateExplanations();
		}
	}

	/**
	 * Processes a datagram.
	 * @param from source address
	 * @param datagram the payload
	 */
	public void onDatagram(InetAddress from, byte[] datagram) {
		if (stalled()) {
			return;
		}
		this.gossip.read(from, datagram).ifPresent(this::apply);
	}

	private void apply(TraitNews news) {
		String cause = "news of host " + news.sender();
		news.crashes().forEach((crash) -> {
			crash.labels().forEach(this.labels::putIfAbsent);
			recordCrash(crash);
			tellResponses(crash.involved().keySet());
		});
		news.states().forEach((trait, state) -> applyState(trait, state));
		news.culprits().forEach((culprit) -> applyCulprit(culprit, cause));
		if (!news.crashes().isEmpty() || !news.states().isEmpty()) {
			judgeSoon(cause);
		}
	}

	// The hosts that judge a crash blame a part that has got responses only after more
	// crashes, so they must hear of responses that only this host has got.
	private void tellResponses(Set<Long> involved) {
		for (long trait : involved) {
			this.evidence.responseNanos(trait).ifPresent((responded) -> clear(trait, responded));
		}
	}

	// A host that has got a response since the first crash knows better than the sender.
	private void applyState(long trait, TraitState state) {
		if (state.clearedNanos() != TraitState.NEVER) {
			this.evidence.recordResponse(trait, state.clearedNanos());
		}
		if (!this.traits.merge(trait, state)) {
			return;
		}
		this.gossip.stateChanged(trait);
		this.evidence.responseNanos(trait)
			.filter((responded) -> state.suspected() && responded > state.firstNanos())
			.ifPresent((responded) -> clear(trait, Math.max(responded, state.suspectedNanos() + 1)));
	}

	private void applyCulprit(TraitNews.Culprit culprit, String cause) {
		culprit.traits().forEach((trait) -> this.labels.putIfAbsent(trait, culprit.label()));
		if (culprit.state().lifted()) {
			CulpritState known = this.traits.culpritStates().get(culprit.traits());
			if (known == null || known.atNanos() < culprit.state().atNanos()) {
				lift(culprit.traits(), culprit.state(), cause);
			}
		}
		else if (this.traits.convict(culprit.traits(), culprit.state())) {
			announce(culprit.traits(), culprit.state(), cause);
			updateExplanations();
		}
	}

	// The ages in datagrams that waited while this host stood still are wrong, and some
	// of
	// them were lost.
	private boolean stalled() {
		return this.lastRoundNanos != 0 && this.clock.getAsLong() - this.lastRoundNanos > MAX_ROUND_GAP_NANOS;
	}

	/**
	 * Sends news to a few hosts. Called every {@link TraitGossip#ROUND_MILLIS}.
	 */
	public void runRound() {
		long suspendedNanos = this.gossip.suspendedNanos();
		boolean stoodStill = stalled();
		this.lastRoundNanos = this.clock.getAsLong();
		if (suspendedNanos > 0 || stoodStill) {
			this.evidence.clear();
			this.suspectedHere.clear();
			this.traits.suspended(suspendedNanos);
		}
		this.gossip.runRound(this.evidence, this.traits, this.labels);
	}

	/**
	 * Removes what is too old. Called a few times per second.
	 */
	public void tick() {
		long now = this.clock.getAsLong();
		if (!this.evidence.isEmpty()) {
			this.evidence.expire(now);
		}
		if (!this.traits.isEmpty()) {
			this.traits.expire(now);
			this.traits.refutedByResponses()
				.forEach((culprit) -> refute(culprit, now, "responses to requests with them have begun"));
		}
		logHeldTraits(now);
	}

	private void logHeldTraits(long now) {
		Set<Long> held = this.traits.heldTraits(now);
		for (long trait : held) {
			if (!this.loggedHeld.contains(trait)) {
				int crashes = this.traits.state(trait).map(TraitState::crashes).orElse(0);
				logger.info(GatewayEvents.TRAIT_SUSPECTED, describe(Set.of(trait)), crashes);
			}
		}
		this.loggedHeld.removeAll(held);
		for (long trait : this.loggedHeld) {
			boolean responded = this.traits.state(trait).filter(TraitState::responded).isPresent();
			logger.info(GatewayEvents.TRAIT_CLEARED, describe(Set.of(trait)),
					responded ? "a response that has begun" : "another reason for the crashes");
		}
		this.loggedHeld = held;
	}

	/**
	 * Returns the number of sets of traits that are blocked.
	 * @return number of culprits in force
	 */
	public int blockedCount() {
		return this.traits.culprits().size();
	}

	/**
	 * Returns the number of suspected traits.
	 * @return number of traits
	 */
	public int suspectedCount() {
		return this.traits.suspected().size();
	}

	/**
	 * A request that runs and whose response has not begun. Compared by identity.
	 */
	private static final class WatchedRequest {

		private final Set<Long> traits;

		private final Runnable blocked;

		WatchedRequest(Set<Long> traits, Runnable blocked) {
			this.traits = traits;
			this.blocked = blocked;
		}

		Set<Long> traits() {
			return this.traits;
		}

		Runnable blocked() {
			return this.blocked;
		}

	}

}
