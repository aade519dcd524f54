package io.sequoialink.bench.rollout;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.stream.IntStream;

import io.sequoialink.bench.outcomes.DrawnRequest;
import io.sequoialink.bench.outcomes.OutcomeTable;
import io.sequoialink.decision.Attempt;
import io.sequoialink.decision.RequestFacts;
import io.sequoialink.decision.RolloutPolicy;
import io.sequoialink.decision.rollout.RolloutSettings;
import io.sequoialink.decision.rollout.SharedRolloutPolicy;
import io.sequoialink.model.AccountId;
import io.sequoialink.model.AccountLimits;
import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.ClassId;
import io.sequoialink.model.ClientAccount;
import io.sequoialink.model.ConfigObject;
import io.sequoialink.model.Effect;
import io.sequoialink.model.HostId;
import io.sequoialink.model.Labels;
import io.sequoialink.model.ModelVersion;
import io.sequoialink.model.RequestId;
import io.sequoialink.model.Rollout;
import io.sequoialink.model.RolloutStage;
import io.sequoialink.model.RolloutState;
import io.sequoialink.model.Selector;
import io.sequoialink.model.ServerId;
import io.sequoialink.model.VersionId;
import io.sequoialink.model.VersionState;

/**
 * Drives the roll-out policies of several hosts over drawn requests in virtual time.
 * Evidence and brakes travel with a delay and are lost now and then; recorded changes
 * reach all hosts later still. Without sharing, each host judges and stops for itself.
 * Not thread-safe.
 */
final class RolloutRun {

	/** Time between two exchanges of a host, in milliseconds. */
	private static final long EXCHANGE_MILLIS = 500;

	/** Time that a message between hosts takes, in milliseconds. */
	private static final long MESSAGE_MILLIS = 50;

	private static final double LOST_MESSAGES = 0.05;

	/** Time from a change to its effect on every host, in milliseconds. */
	private static final long LOG_MILLIS = 500;

	/** Rated answers of the candidate after which it turns bad later. */
	private static final int LATER_RATED = 150;

	/** Time from the roll-out's completion until the version turns bad. */
	private static final long AFTER_COMPLETION_MILLIS = 30_000;

	private static final VersionId CANDIDATE = new VersionId("candidate");

	private static final ServerId SERVER = new ServerId("table");

	private static final ClientAccount ACCOUNT = new ClientAccount(new AccountId("bench"), Labels.none(), "00",
			Selector.everything(), 0, AccountLimits.UNLIMITED);

	private static final double[] SHARES = { 0.05, 0.25, 0.5, 1 };

	private static final int[] RATED = { 40, 80, 120, 160 };

	private final OutcomeTable table;

	private final List<DrawnRequest> requests;

	private final Fault fault;

	private final boolean shared;

	private final RolloutSettings settings;

	private final SplittableRandom random;

	private final List<Host> hosts;

	private final VersionId stable;

	private final RolloutBooks books = new RolloutBooks();

	private final Map<Integer, VersionId> sessions = new HashMap<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::at).thenComparingLong(Event::order));

	private long order;

	private long revision;

	private long endMillis;

	RolloutRun(OutcomeTable table, List<DrawnRequest> requests, Fault fault, int hostCount, boolean shared,
			RolloutSettings settings, long seed) {
		this.table = table;
		this.requests = requests;
		this.fault = fault;
		this.shared = shared;
		this.settings = settings;
		this.random = new SplittableRandom(seed);
		this.stable = new VersionId(table.versions().get(0).id());
		List<HostId> ids = IntStream.range(0, hostCount).mapToObj((i) -> new HostId("host-" + i)).toList();
		Rollout rollout = new Rollout("bench", Labels.none(), this.stable, CANDIDATE, Selector.everything(),
				stages(shared ? 1 : hostCount), RolloutState.RUNNING, 0);
		CatalogueView view = view(rollout);
		this.hosts = ids.stream().map((id) -> new Host(id, shared ? ids : List.of(id), view, rollout)).toList();
	}

	private static List<RolloutStage> stages(int split) {
		return IntStream.range(0, SHARES.length)
			.mapToObj((i) -> new RolloutStage(SHARES[i], Math.max(1, RATED[i] / split)))
			.toList();
	}

	private CatalogueView view(Rollout rollout) {
		List<ConfigObject> objects = List.of(rollout, version(this.stable), version(CANDIDATE));
		long at = ++this.revision;
		return CatalogueView.of(at, objects.stream().map((object) -> new CatalogueView.Entry(object, at)).toList());
	}

	private ModelVersion version(VersionId id) {
		return new ModelVersion(id, Labels.none(), this.table.versions().get(0).cost(), VersionState.OFFERED);
	}

	RolloutBooks run() {
		this.requests.forEach((request) -> at(request.arrivalMillis(), (now) -> arrive(request, now)));
		this.endMillis = this.requests.get(this.requests.size() - 1).arrivalMillis();
		for (int i = 0; i < this.hosts.size(); i++) {
			Host host = this.hosts.get(i);
			at(i * EXCHANGE_MILLIS / this.hosts.size(), (now) -> exchange(host, now));
		}
		while (!this.events.isEmpty()) {
			Event event = this.events.poll();
			event.action().accept(event.at());
		}
		return this.books;
	}

	private void arrive(DrawnRequest request, long now) {
		Host host = this.hosts.get(this.random.nextInt(this.hosts.size()));
		Optional<VersionId> bound = (request.turn() > 0) ? Optional.ofNullable(this.sessions.get(request.session()))
				: Optional.empty();
		RequestFacts facts = facts(request, bound, now);
		VersionId placed = host.policy.selectVersion(host.view, ACCOUNT, facts, bound.orElse(this.stable), now);
		if (request.session() >= 0) {
			this.sessions.putIfAbsent(request.session(), placed);
		}
		this.books.arrived++;
		begin(host, request, facts, placed, now);
	}

	private void begin(Host host, DrawnRequest request, RequestFacts facts, VersionId version, long now) {
		boolean candidate = version.equals(CANDIDATE);
		boolean bad = candidate && bad(now);
		if (candidate) {
			this.books.candidateInFlight++;
			this.books.startedAt = (this.books.startedAt < 0) ? now : this.books.startedAt;
		}
		if (bad) {
			this.books.exposed++;
			this.books.turnsAfterStop += (this.books.stopped() && facts.sessionVersion().isPresent()) ? 1 : 0;
		}
		SplittableRandom draws = new SplittableRandom(request.index() * 0x9E3779B97F4A7C15L + (candidate ? 7 : 3));
		boolean fails = draws.nextDouble() < (bad ? this.fault.failureShare() : Fault.GOOD_FAILURE_SHARE);
		double slowness = bad ? this.fault.slowness() : 1;
		double whole = this.table.versions().get(0).millis(request.answerTokens()) * slowness;
		double millis = fails ? whole * draws.nextDouble() : whole;
		boolean late = millis > request.row().deadline();
		String outcome = fails ? "cut_off" : late ? "deadline" : "whole";
		long end = now + Math.round(Math.min(millis, request.row().deadline()));
		OptionalDouble rating = request.rating(0, 1);
		OptionalDouble lowered = (rating.isPresent() && bad)
				? OptionalDouble.of(rating.getAsDouble() * this.fault.ratingFactor()) : rating;
		long delay = Math.round(request.ratingDelayMillis(0) * slowness);
		at(end, (at) -> end(host, facts, version, outcome, at - now, lowered, delay, at));
	}

	private void end(Host host, RequestFacts facts, VersionId version, String outcome, long millis,
			OptionalDouble rating, long delay, long now) {
		this.books.ended++;
		this.books.candidateInFlight -= version.equals(CANDIDATE) ? 1 : 0;
		host.policy.recordOutcome(facts,
				new Attempt(version, SERVER, Effect.DONE, OptionalDouble.empty(), outcome, millis), now);
		if ("whole".equals(outcome)) {
			at(now + delay, (at) -> {
				this.books.candidateRated += version.equals(CANDIDATE) ? 1 : 0;
				host.policy.recordOutcome(facts, new Attempt(version, SERVER, Effect.DONE, rating, outcome, millis),
						at);
			});
		}
	}

	// Returns whether the candidate is bad now; decides when it turns bad.
	private boolean bad(long now) {
		if (this.books.onsetAt < 0 && this.fault != Fault.NONE && due(now)) {
			this.books.onsetAt = now;
			this.books.inFlightAtOnset = this.books.candidateInFlight;
			this.books.creditsAtOnset = Math.min(this.settings.maxCredits(),
					this.settings.credits() + this.books.candidateRated / this.settings.answersPerCredit());
		}
		return this.books.onsetAt >= 0;
	}

	private boolean due(long now) {
		return switch (this.fault.onset()) {
			case START -> true;
			case LATER -> this.books.candidateRated >= LATER_RATED;
			case COMPLETED -> this.books.completedAt >= 0 && now - this.books.completedAt >= AFTER_COMPLETION_MILLIS;
		};
	}

	private void exchange(Host host, long now) {
		for (RolloutPolicy.Action action : host.policy.evaluate(host.view, now)) {
			apply(host, action, now);
		}
		if (this.shared) {
			byte[] payload = host.policy.exportStatistics();
			send(host, (peer) -> peer.policy.mergeStatistics(payload), now);
		}
		if (now < this.endMillis) {
			at(now + EXCHANGE_MILLIS, (at) -> exchange(host, at));
		}
	}

	private void apply(Host host, RolloutPolicy.Action action, long now) {
		action.brake().ifPresent((brake) -> {
			this.books.brakes++;
			this.books.reason = action.explanation();
			host.braked = true;
			noteStop(now);
			if (this.shared) {
				send(host, (peer) -> {
					peer.policy.accept(brake);
					peer.braked = true;
				}, now);
				at(now + MESSAGE_MILLIS, this::noteStop);
			}
		});
		action.change().ifPresent((change) -> record(host, change, now));
	}

	private void noteStop(long now) {
		if (!this.books.stopped() && this.hosts.stream().allMatch((host) -> host.braked)) {
			this.books.stoppedAt = now;
		}
	}

	private void record(Host host, Rollout change, long now) {
		if (!host.rollout.equals(change)) {
			CatalogueView view = view(change);
			List<Host> affected = this.shared ? this.hosts : List.of(host);
			affected.forEach((each) -> each.rollout = change);
			at(now + LOG_MILLIS, (at) -> affected.forEach((each) -> {
				each.view = view;
				each.braked |= change.state() == RolloutState.RETURNED;
			}));
			if (change.state() == RolloutState.RETURNED) {
				at(now + LOG_MILLIS, this::noteStop);
			}
			if (change.state() == RolloutState.COMPLETED && this.books.completedAt < 0) {
				this.books.completedAt = now;
			}
		}
	}

	private void send(Host from, Consumer<Host> message, long now) {
		for (Host peer : this.hosts) {
			if (peer != from && this.random.nextDouble() >= LOST_MESSAGES) {
				at(now + MESSAGE_MILLIS, (at) -> message.accept(peer));
			}
		}
	}

	private static RequestFacts facts(DrawnRequest request, Optional<VersionId> bound, long now) {
		OutcomeTable.ClassRow row = request.row();
		return new RequestFacts(new RequestId("r" + request.index()), ACCOUNT.id(), new ClassId(row.id()),
				row.qualityTarget(), now + row.deadline(), request.promptTokens(), row.answerTokens().max(),
				request.streamed(), bound, request.session() >= 0 && request.turn() == 0, 0, "aa", 0);
	}

	private void at(long millis, LongConsumer action) {
		this.events.add(new Event(millis, this.order++, action));
	}

	private record Event(long at, long order, LongConsumer action) {
	}

	/** One host. Confined to the run's thread. */
	private final class Host {

		private final SharedRolloutPolicy policy;

		private CatalogueView view;

		private Rollout rollout;

		private boolean braked;

		private Host(HostId id, List<HostId> members, CatalogueView view, Rollout rollout) {
			this.policy = new SharedRolloutPolicy(id, 1, () -> members, RolloutRun.this.settings);
			this.view = view;
			this.rollout = rollout;
		}

	}

}
