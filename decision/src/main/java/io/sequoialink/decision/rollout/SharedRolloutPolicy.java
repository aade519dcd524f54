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
 * Roll-outs judged by the merged evidence of all hosts.
 * <p>
 * Invariants: new work reaches a candidate only while its roll-out runs, no brake is in
 * force, and a credit is free; this host's credits are its part of the fleet's, so hosts
 * that agree on the members never hold more than the fleet's credits together. A brake
 * ends only by a later change of the roll-out, which also starts its evidence anew. A
 * session that goes on is never moved.
 * <p>
 * Thread-safe: one lock guards all state; no foreign code is called under it but the
 * members' supplier, which must not block. {@link #place} takes time in the number of
 * configuration objects only when the view is new.
 */
public final class SharedRolloutPolicy implements RolloutPolicy {

	/** Rank of a host times this is how long it waits to record a change. */
	private static final long CHANGE_DELAY_MILLIS = 3_000;

	/** A stage is not left while the e-value of a fault is above this. */
	private static final double DOUBT = Math.log(10);

	/** Missing ratings beyond the expected that cost no credit. */
	private static final int UNRATED_SLACK = 8;

	private static final double UNRATED_FACTOR = 3;

	private final HostId self;

	private final Supplier<List<HostId>> members;

	private final RolloutSettings settings;

	private final EvidenceTable table;

	private final PendingAnswers pending;

	private final Map<VersionId, Long> brakes = new HashMap<>();

	private final Map<String, ChangeDetector> detectors = new HashMap<>();

	private final Map<String, Long> wantedSince = new HashMap<>();

	private RolloutIndex index = new RolloutIndex(CatalogueView.empty(), Map.of());

	/**
	 * Creates the policy of one host.
	 * @param self this host
	 * @param incarnation distinguishes this process from earlier ones of the host
	 * @param members the live hosts, this one among them; must not block
	 * @param settings the parameters
	 */
	public SharedRolloutPolicy(HostId self, long incarnation, Supplier<List<HostId>> members,
			RolloutSettings settings) {
		this.self = self;
		this.members = members;
		this.settings = settings;
		this.table = new EvidenceTable(self.value(), incarnation);
		this.pending = new PendingAnswers(this.table, settings.ratingTimeoutMillis());
	}

	@Override
	public synchronized VersionId place(CatalogueView view, ClientAccount account, RequestFacts request,
			VersionId chosen, long nowMillis) {
		refresh(view);
		Optional<RolloutIndex.Entry> entry = this.index.of(chosen);
		boolean goesOn = request.sessionVersion().isPresent();
		VersionId placed = entry.filter((known) -> !goesOn)
			.map((known) -> choose(view, account, request, known, chosen))
			.orElse(chosen);
		if (!this.pending.holds(request, placed)) {
			begin(account, request, placed, entry);
		}
		return placed;
	}

	private VersionId choose(CatalogueView view, ClientAccount account, RequestFacts request, RolloutIndex.Entry entry,
			VersionId chosen) {
		Rollout rollout = entry.rollout();
		boolean mayCandidate = mayRun(view, account, rollout.candidate());
		if (mayCandidate && (entry.completed() || (entry.running() && selects(entry, account, request)))) {
			return rollout.candidate();
		}
		boolean stableFits = chosen.equals(rollout.stable()) || mayRun(view, account, rollout.stable());
		return stableFits ? rollout.stable() : chosen;
	}

	private static boolean mayRun(CatalogueView view, ClientAccount account, VersionId id) {
		Optional<ModelVersion> version = view.version(id);
		return version.filter((known) -> known.state() == VersionState.OFFERED)
			.filter((known) -> account.allowedVersions().matches(known.labels()))
			.isPresent();
	}

	private boolean selects(RolloutIndex.Entry entry, ClientAccount account, RequestFacts request) {
		Rollout rollout = entry.rollout();
		if (!rollout.accounts().matches(account.labels())) {
			return false;
		}
		if (this.pending.holds(request, rollout.candidate())) {
			return true;
		}
		return Hashes.position(rollout.id(), request.id().value()) < rollout.currentStage().share()
				&& creditsFree(entry) > 0;
	}

	private int creditsFree(RolloutIndex.Entry entry) {
		String rollout = entry.rollout().id();
		int fleet = fleetCredits(entry);
		List<HostId> live = this.members.get();
		int hosts = Math.max(1, live.size());
		int rank = Hashes.rank(rollout, this.self, live);
		int own = fleet / hosts + ((rank < fleet % hosts) ? 1 : 0);
		return own - this.pending.creditsHeld(rollout);
	}

	private int fleetCredits(RolloutIndex.Entry entry) {
		Evidence stable = stableEvidence(entry);
		if (stable.ended() < this.settings.referenceAnswers()) {
			return 0;
		}
		Evidence candidate = candidateEvidence(entry);
		double missing = (double) stable.unrated() / Math.max(1, stable.unrated() + stable.rated());
		double expected = UNRATED_FACTOR * missing * (candidate.unrated() + candidate.rated()) + UNRATED_SLACK;
		long earned = candidate.rated() / this.settings.answersPerCredit();
		long credits = Math.min(this.settings.maxCredits(), this.settings.credits() + earned);
		return (int) Math.max(0, credits - Math.max(0, Math.ceil(candidate.unrated() - expected)));
	}

	private void begin(ClientAccount account, RequestFacts request, VersionId placed,
			Optional<RolloutIndex.Entry> entry) {
		List<String> cells = new ArrayList<>(List.of(RolloutIndex.versionCell(placed)));
		Optional<RolloutIndex.Entry> arm = entry
			.filter((known) -> known.running() && known.rollout().accounts().matches(account.labels()));
		boolean candidate = arm.filter((known) -> known.rollout().candidate().equals(placed)).isPresent();
		arm.ifPresent((known) -> cells
			.add(candidate ? known.candidateCell(known.rollout().stage()) : known.stableCell(known.rollout().stage())));
		this.pending.begin(request, placed, cells,
				arm.filter((known) -> candidate).map((known) -> known.rollout().id()));
	}

	@Override
	public synchronized void observe(RequestFacts request, Attempt attempt, long nowMillis) {
		this.pending.observe(request, attempt, List.of(RolloutIndex.versionCell(attempt.version())), nowMillis);
	}

	@Override
	public synchronized List<Action> judge(CatalogueView view, long nowMillis) {
		refresh(view);
		this.pending.expire(nowMillis);
		List<Action> actions = new ArrayList<>();
		for (RolloutIndex.Entry entry : this.index.entries()) {
			judge(view, entry, nowMillis).ifPresent(actions::add);
		}
		view.versions()
			.filter((version) -> version.state() == VersionState.OFFERED)
			.forEach((version) -> watch(version.id()).ifPresent(actions::add));
		return actions;
	}

	private Optional<Action> judge(CatalogueView view, RolloutIndex.Entry entry, long nowMillis) {
		Rollout rollout = entry.rollout();
		boolean receivesWork = rollout.state() == RolloutState.RUNNING || rollout.state() == RolloutState.COMPLETED;
		if (!receivesWork) {
			return Optional.empty();
		}
		if (entry.braked()) {
			return change(rollout.at(RolloutState.RETURNED, rollout.stage()), nowMillis)
				.map((changed) -> new Action(Optional.empty(), Optional.of(changed),
						rollout.candidate() + " is braked; new work stays on " + rollout.stable()));
		}
		return (rollout.state() == RolloutState.RUNNING) ? judgeRunning(view, entry, nowMillis)
				: judgeCompleted(view, entry, nowMillis);
	}

	private Optional<Action> judgeRunning(CatalogueView view, RolloutIndex.Entry entry, long nowMillis) {
		Evidence candidate = candidateEvidence(entry);
		Evidence stable = stableEvidence(entry);
		if (stable.ended() < this.settings.referenceAnswers()) {
			return Optional.empty();
		}
		ChangeDetector detector = detector(entry.prefix());
		Optional<SequentialTests.Finding> found = detector.judge(candidate, stable);
		if (found.isPresent()) {
			return Optional.of(stop(view, entry, describe(found.get(), candidate, stable), nowMillis));
		}
		return advance(entry, nowMillis).filter((next) -> detector.score(candidate, stable) < DOUBT);
	}

	private Optional<Action> judgeCompleted(CatalogueView view, RolloutIndex.Entry entry, long nowMillis) {
		Evidence evidence = this.table.total(RolloutIndex.versionCell(entry.rollout().candidate()));
		return detector(entry.prefix() + "completed").judgeChange(evidence, stableEvidence(entry))
			.map((found) -> stop(view, entry, "after its roll-out, " + found.test() + " became worse than before",
					nowMillis));
	}

	private Action stop(CatalogueView view, RolloutIndex.Entry entry, String reason, long nowMillis) {
		Rollout rollout = entry.rollout();
		Brake brake = new Brake(Brake.Scope.VERSION, rollout.candidate().value(), reason, this.self, view.revision(),
				nowMillis);
		accept(brake);
		return new Action(Optional.of(brake), change(rollout.at(RolloutState.RETURNED, rollout.stage()), nowMillis),
				rollout.candidate() + " is stopped: " + reason);
	}

	private static String describe(SequentialTests.Finding found, Evidence candidate, Evidence stable) {
		return String.format(
				"%s are worse than those of the version in force (e-value %.0f; failures %d of %d"
						+ " against %.3f; mean rating %.3f of %d against %.3f)",
				found.test(), Math.exp(found.score()), candidate.failed(), candidate.started(), stable.failureShare(),
				candidate.meanRating(), candidate.rated(), stable.meanRating());
	}

	private Optional<Action> advance(RolloutIndex.Entry entry, long nowMillis) {
		Rollout rollout = entry.rollout();
		long rated = this.table.total(entry.candidateCell(rollout.stage())).rated();
		if (rated < rollout.currentStage().ratedAnswers()) {
			return Optional.empty();
		}
		boolean last = rollout.stage() == rollout.stages().size() - 1;
		Rollout next = last ? rollout.at(RolloutState.COMPLETED, rollout.stage())
				: rollout.at(RolloutState.RUNNING, rollout.stage() + 1);
		String explanation = rollout.candidate() + " has " + rated + " rated answers in stage " + rollout.stage()
				+ (last ? " and completes its roll-out" : " and advances");
		return change(next, nowMillis)
			.map((changed) -> new Action(Optional.empty(), Optional.of(changed), explanation));
	}

	// Lets the owner record a change at once and each other host only if it does not.
	private Optional<Rollout> change(Rollout wanted, long nowMillis) {
		String key = wanted.id() + "/" + wanted.state() + "/" + wanted.stage();
		long since = this.wantedSince.computeIfAbsent(key, (absent) -> nowMillis);
		long delay = CHANGE_DELAY_MILLIS * Hashes.rank(wanted.id(), this.self, this.members.get());
		return (nowMillis - since >= delay) ? Optional.of(wanted) : Optional.empty();
	}

	private Optional<Action> watch(VersionId version) {
		boolean judgedElsewhere = this.index.of(version)
			.filter((entry) -> entry.rollout().candidate().equals(version))
			.isPresent();
		if (judgedElsewhere) {
			return Optional.empty();
		}
		String cell = RolloutIndex.versionCell(version);
		Optional<SequentialTests.Finding> found = detector(cell).judgeChange(this.table.total(cell), Evidence.none());
		found.ifPresent((finding) -> this.detectors.remove(cell));
		return found.map((finding) -> new Action(Optional.empty(), Optional.empty(),
				version + " is in force and its " + finding.test() + " became worse than before"));
	}

	@Override
	public synchronized byte[] evidence() {
		return this.table.payload();
	}

	@Override
	public synchronized void merge(byte[] payload) {
		this.table.merge(payload, this::wanted);
	}

	// Returns whether a cell is kept; its name may tell of a brake that is new here.
	private boolean wanted(String cell) {
		if (!this.index.cells().contains(cell)) {
			this.index.newerBrake(cell).ifPresent((brake) -> {
				this.brakes.merge(brake.getKey(), brake.getValue(), Math::max);
				this.index = new RolloutIndex(this.index.view(), this.brakes);
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
		this.brakes.merge(version, brake.revision(), Math::max);
		this.index = new RolloutIndex(this.index.view(), this.brakes);
	}

	private void refresh(CatalogueView view) {
		if (this.index.isFor(view)) {
			return;
		}
		this.index = new RolloutIndex(view, this.brakes);
		this.table.retain(this.index.cells()::contains);
		this.pending.retain(this.index.cells());
		this.detectors.keySet()
			.removeIf((key) -> key.startsWith("r/")
					&& this.index.entries().stream().noneMatch((entry) -> key.startsWith(entry.prefix())));
		this.wantedSince.clear();
	}

	private Evidence candidateEvidence(RolloutIndex.Entry entry) {
		Evidence sum = Evidence.none();
		for (int stage = 0; stage < entry.rollout().stages().size(); stage++) {
			sum = sum.plus(this.table.total(entry.candidateCell(stage)));
		}
		return sum;
	}

	private Evidence stableEvidence(RolloutIndex.Entry entry) {
		Evidence sum = Evidence.none();
		for (int stage = 0; stage < entry.rollout().stages().size(); stage++) {
			sum = sum.plus(this.table.total(entry.stableCell(stage)));
		}
		return sum;
	}

	private ChangeDetector detector(String key) {
		return this.detectors.computeIfAbsent(key, (absent) -> new ChangeDetector(this.settings));
	}

}
