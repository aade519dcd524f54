package io.sequoialink.decision.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import io.sequoialink.decision.Attempt;
import io.sequoialink.decision.RequestFacts;
import io.sequoialink.decision.RolloutPolicy;
import io.sequoialink.model.Brake;
import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.ClientAccount;
import io.sequoialink.model.HostId;
import io.sequoialink.model.ModelVersion;
import io.sequoialink.model.Rollout;
import io.sequoialink.model.RolloutState;
import io.sequoialink.model.VersionId;
import io.sequoialink.model.VersionState;

/**
 * Decides roll-outs by the merged answer statistics of all hosts.
 * <p>
 * Invariants: new requests reach a candidate only while its roll-out is running, no stop
 * order (brake) for it is in force and a credit is free. A credit permits one answer of
 * the candidate whose result is not final yet. The credits of the fleet are divided
 * between the live hosts, so hosts that agree on who is live never use more than the
 * fleet's credits together. A stop order ends only by a later change of the roll-out,
 * which also starts new statistics. A session that continues is never moved.
 * <p>
 * Thread-safe: one lock guards all state. The only foreign code called under it is the
 * members' supplier, which must not block. {@link #selectVersion} takes time proportional
 * to the number of configuration objects only when the view is new.
 */
public final class SharedRolloutPolicy implements RolloutPolicy {

	/**
	 * Delay before a host records a change of a roll-out, in milliseconds, multiplied by
	 * the host's rank for the roll-out (see {@link Hashes#rank}); the host of rank 0 does
	 * not wait.
	 */
	private static final long CHANGE_DELAY_PER_RANK_MILLIS = 3_000;

	/**
	 * Score against the candidate (an e-value of 10) from which a roll-out does not
	 * advance to the next stage.
	 */
	private static final double MAX_SCORE_TO_ADVANCE = Math.log(10);

	/**
	 * Number of unrated answers above the expected number that do not reduce the credits
	 * of the fleet yet.
	 */
	private static final int UNRATED_SLACK = 8;

	/**
	 * Factor by which the candidate's share of unrated answers may exceed that of the
	 * stable version before unrated answers cost credits.
	 */
	private static final double UNRATED_FACTOR = 3;

	private final HostId self;

	private final Supplier<List<HostId>> members;

	private final RolloutSettings settings;

	private final ReplicatedCounters counters;

	private final PendingAnswers pending;

	private final Map<VersionId, Long> brakeRevisions = new HashMap<>();

	private final Map<String, ChangeDetector> detectors = new HashMap<>();

	private final Map<String, Long> changeWantedSince = new HashMap<>();

	private RolloutIndex index = new RolloutIndex(CatalogueView.empty(), Map.of());

	/**
	 * Creates the policy of one host.
	 * @param self this host
	 * @param incarnation distinguishes this process from earlier ones of the host
	 * @param members returns the live hosts, this one included; must not block
	 * @param settings the parameters
	 */
	public SharedRolloutPolicy(HostId self, long incarnation, Supplier<List<HostId>> members,
			RolloutSettings settings) {
		this.self = self;
		this.members = members;
		this.settings = settings;
		this.counters = new ReplicatedCounters(self.value(), incarnation);
		this.pending = new PendingAnswers(this.counters, settings.ratingTimeoutMillis());
	}

	@Override
	public synchronized VersionId selectVersion(CatalogueView view, ClientAccount account, RequestFacts request,
			VersionId chosen, long nowMillis) {
		refresh(view);
		Optional<RolloutIndex.Entry> entry = this.index.find(chosen);
		boolean continuesSession = request.sessionVersion().isPresent();
		VersionId placed = entry.filter((known) -> !continuesSession)
			.map((known) -> chooseVersion(view, account, request, known, chosen))
			.orElse(chosen);
		if (!this.pending.isPending(request, placed)) {
			startAttempt(account, request, placed, entry);
		}
		return placed;
	}

	private VersionId chooseVersion(CatalogueView view, ClientAccount account, RequestFacts request,
			RolloutIndex.Entry entry, VersionId chosen) {
		Rollout rollout = entry.rollout();
		boolean candidateUsable = isUsable(view, account, rollout.candidate());
		if (candidateUsable && (entry.completed() || (entry.running() && admitsToCandidate(entry, account, request)))) {
			return rollout.candidate();
		}
		boolean stableUsable = chosen.equals(rollout.stable()) || isUsable(view, account, rollout.stable());
		return stableUsable ? rollout.stable() : chosen;
	}

	private static boolean isUsable(CatalogueView view, ClientAccount account, VersionId id) {
		Optional<ModelVersion> version = view.version(id);
		return version.filter((known) -> known.state() == VersionState.OFFERED)
			.filter((known) -> account.allowedVersions().matches(known.labels()))
			.isPresent();
	}

	private boolean admitsToCandidate(RolloutIndex.Entry entry, ClientAccount account, RequestFacts request) {
		Rollout rollout = entry.rollout();
		if (!rollout.accounts().matches(account.labels())) {
			return false;
		}
		if (this.pending.isPending(request, rollout.candidate())) {
			return true;
		}
		return Hashes.position(rollout.id(), request.id().value()) < rollout.currentStage().share()
				&& freeCredits(entry) > 0;
	}

	private int freeCredits(RolloutIndex.Entry entry) {
		String rollout = entry.rollout().id();
		int fleet = fleetCredits(entry);
		List<HostId> live = this.members.get();
		int hosts = Math.max(1, live.size());
		int rank = Hashes.rank(rollout, this.self, live);
		int own = fleet / hosts + ((rank < fleet % hosts) ? 1 : 0);
		return own - this.pending.creditsInUse(rollout);
	}

	private int fleetCredits(RolloutIndex.Entry entry) {
		AnswerStatistics stable = stableStatistics(entry);
		if (stable.ended() < this.settings.referenceAnswers()) {
			return 0;
		}
		AnswerStatistics candidate = candidateStatistics(entry);
		double missing = (double) stable.unrated() / Math.max(1, stable.unrated() + stable.rated());
		double expected = UNRATED_FACTOR * missing * (candidate.unrated() + candidate.rated()) + UNRATED_SLACK;
		long earned = candidate.rated() / this.settings.answersPerCredit();
		long credits = Math.min(this.settings.maxCredits(), this.settings.credits() + earned);
		return (int) Math.max(0, credits - Math.max(0, Math.ceil(candidate.unrated() - expected)));
	}

	private void startAttempt(ClientAccount account, RequestFacts request, VersionId placed,
			Optional<RolloutIndex.Entry> entry) {
		List<String> cells = new ArrayList<>(List.of(RolloutIndex.versionCell(placed)));
		Optional<RolloutIndex.Entry> arm = entry
			.filter((known) -> known.running() && known.rollout().accounts().matches(account.labels()));
		boolean candidate = arm.filter((known) -> known.rollout().candidate().equals(placed)).isPresent();
		arm.ifPresent((known) -> cells
			.add(candidate ? known.candidateCell(known.rollout().stage()) : known.stableCell(known.rollout().stage())));
		this.pending.start(request, placed, cells,
				arm.filter((known) -> candidate).map((known) -> known.rollout().id()));
	}

	@Override
	public synchronized void recordOutcome(RequestFacts request, Attempt attempt, long nowMillis) {
		this.pending.observe(request, attempt, List.of(RolloutIndex.versionCell(attempt.version())), nowMillis);
	}

	@Override
	public synchronized List<Action> evaluate(CatalogueView view, long nowMillis) {
		refresh(view);
		this.pending.expire(nowMillis);
		List<Action> actions = new ArrayList<>();
		for (RolloutIndex.Entry entry : this.index.entries()) {
			evaluateRollout(view, entry, nowMillis).ifPresent(actions::add);
		}
		view.versions()
			.filter((version) -> version.state() == VersionState.OFFERED)
			.forEach((version) -> checkVersionInForce(version.id()).ifPresent(actions::add));
		return actions;
	}

	private Optional<Action> evaluateRollout(CatalogueView view, RolloutIndex.Entry entry, long nowMillis) {
		Rollout rollout = entry.rollout();
		boolean receivesRequests = rollout.state() == RolloutState.RUNNING || rollout.state() == RolloutState.COMPLETED;
		if (!receivesRequests) {
			return Optional.empty();
		}
		if (entry.braked()) {
			return changeWhenDue(rollout.at(RolloutState.RETURNED, rollout.stage()), nowMillis)
				.map((changed) -> new Action(Optional.empty(), Optional.of(changed),
						rollout.candidate() + " has a stop order; new requests stay on " + rollout.stable()));
		}
		return (rollout.state() == RolloutState.RUNNING) ? evaluateRunning(view, entry, nowMillis)
				: evaluateCompleted(view, entry, nowMillis);
	}

	private Optional<Action> evaluateRunning(CatalogueView view, RolloutIndex.Entry entry, long nowMillis) {
		AnswerStatistics candidate = candidateStatistics(entry);
		AnswerStatistics stable = stableStatistics(entry);
		if (stable.ended() < this.settings.referenceAnswers()) {
			return Optional.empty();
		}
		ChangeDetector detector = detector(entry.prefix());
		Optional<SequentialTests.TestResult> result = detector.test(candidate, stable);
		if (result.isPresent()) {
			return Optional.of(stopCandidate(view, entry, describe(result.get(), candidate, stable), nowMillis));
		}
		return advance(entry, nowMillis).filter((next) -> detector.score(candidate, stable) < MAX_SCORE_TO_ADVANCE);
	}

	private Optional<Action> evaluateCompleted(CatalogueView view, RolloutIndex.Entry entry, long nowMillis) {
		AnswerStatistics statistics = this.counters.total(RolloutIndex.versionCell(entry.rollout().candidate()));
		return detector(entry.prefix() + "completed").testSinceRestarts(statistics, stableStatistics(entry))
			.map((result) -> stopCandidate(view, entry,
					"after its roll-out, " + result.test() + " became worse than before", nowMillis));
	}

	private Action stopCandidate(CatalogueView view, RolloutIndex.Entry entry, String reason, long nowMillis) {
		Rollout rollout = entry.rollout();
		Brake brake = new Brake(Brake.Scope.VERSION, rollout.candidate().value(), reason, this.self, view.revision(),
				nowMillis);
		accept(brake);
		return new Action(Optional.of(brake),
				changeWhenDue(rollout.at(RolloutState.RETURNED, rollout.stage()), nowMillis),
				rollout.candidate() + " is stopped: " + reason);
	}

	private static String describe(SequentialTests.TestResult result, AnswerStatistics candidate,
			AnswerStatistics stable) {
		return String.format(
				"%s are worse than those of the version in force (e-value %.0f; failures %d of %d"
						+ " against %.3f; mean rating %.3f of %d against %.3f)",
				result.test(), Math.exp(result.score()), candidate.failed(), candidate.started(), stable.failureShare(),
				candidate.meanRating(), candidate.rated(), stable.meanRating());
	}

	private Optional<Action> advance(RolloutIndex.Entry entry, long nowMillis) {
		Rollout rollout = entry.rollout();
		long rated = this.counters.total(entry.candidateCell(rollout.stage())).rated();
		if (rated < rollout.currentStage().ratedAnswers()) {
			return Optional.empty();
		}
		boolean last = rollout.stage() == rollout.stages().size() - 1;
		Rollout next = last ? rollout.at(RolloutState.COMPLETED, rollout.stage())
				: rollout.at(RolloutState.RUNNING, rollout.stage() + 1);
		String explanation = rollout.candidate() + " has " + rated + " rated answers in stage " + rollout.stage()
				+ (last ? " and completes its roll-out" : " and advances");
		return changeWhenDue(next, nowMillis)
			.map((changed) -> new Action(Optional.empty(), Optional.of(changed), explanation));
	}

	// The first host by rendezvous hashing of the roll-out's name records a change at
	// once, each other host only if the hosts ranked before it have not done so.
	private Optional<Rollout> changeWhenDue(Rollout wanted, long nowMillis) {
		String key = wanted.id() + "/" + wanted.state() + "/" + wanted.stage();
		long since = this.changeWantedSince.computeIfAbsent(key, (absent) -> nowMillis);
		long delay = CHANGE_DELAY_PER_RANK_MILLIS * Hashes.rank(wanted.id(), this.self, this.members.get());
		return (nowMillis - since >= delay) ? Optional.of(wanted) : Optional.empty();
	}

	private Optional<Action> checkVersionInForce(VersionId version) {
		boolean isCandidate = this.index.find(version)
			.filter((entry) -> entry.rollout().candidate().equals(version))
			.isPresent();
		if (isCandidate) {
			return Optional.empty();
		}
		String cell = RolloutIndex.versionCell(version);
		Optional<SequentialTests.TestResult> result = detector(cell).testSinceRestarts(this.counters.total(cell),
				AnswerStatistics.empty());
		result.ifPresent((found) -> this.detectors.remove(cell));
		return result.map((found) -> new Action(Optional.empty(), Optional.empty(),
				version + " is in force and its " + found.test() + " became worse than before"));
	}

	@Override
	public synchronized byte[] exportStatistics() {
		return this.counters.nextPayload();
	}

	@Override
	public synchronized void mergeStatistics(byte[] payload) {
		this.counters.merge(payload, this::acceptsCell);
	}

	// Returns whether a peer's counts of a cell (a named set of counters) are merged. The
	// name of the cell may imply a stop order that is new here; it is applied first.
	private boolean acceptsCell(String cell) {
		if (!this.index.cells().contains(cell)) {
			this.index.newerBrake(cell).ifPresent((brake) -> {
				this.brakeRevisions.merge(brake.getKey(), brake.getValue(), Math::max);
				this.index = new RolloutIndex(this.index.view(), this.brakeRevisions);
			});
		}
		return this.index.cells().contains(cell);
	}

	@Override
	public synchronized void accept(Brake brake) {
		if (brake.scope() != Brake.Scope.VERSION) {
			return;
		}
		VersionId version = new VersionId(brake.target());
		this.brakeRevisions.merge(version, brake.revision(), Math::max);
		this.index = new RolloutIndex(this.index.view(), this.brakeRevisions);
	}

	private void refresh(CatalogueView view) {
		if (this.index.isBuiltFrom(view)) {
			return;
		}
		this.index = new RolloutIndex(view, this.brakeRevisions);
		this.counters.retain(this.index.cells()::contains);
		this.pending.retain(this.index.cells());
		this.detectors.keySet()
			.removeIf((key) -> key.startsWith("r/")
					&& this.index.entries().stream().noneMatch((entry) -> key.startsWith(entry.prefix())));
		this.changeWantedSince.clear();
	}

	private AnswerStatistics candidateStatistics(RolloutIndex.Entry entry) {
		AnswerStatistics sum = AnswerStatistics.empty();
		for (int stage = 0; stage < entry.rollout().stages().size(); stage++) {
			sum = sum.plus(this.counters.total(entry.candidateCell(stage)));
		}
		return sum;
	}

	private AnswerStatistics stableStatistics(RolloutIndex.Entry entry) {
		AnswerStatistics sum = AnswerStatistics.empty();
		for (int stage = 0; stage < entry.rollout().stages().size(); stage++) {
			sum = sum.plus(this.counters.total(entry.stableCell(stage)));
		}
		return sum;
	}

	private ChangeDetector detector(String key) {
		return this.detectors.computeIfAbsent(key, (absent) -> new ChangeDetector(this.settings));
	}

}
