package io.sequoialink.bench.cascade;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

import io.sequoialink.bench.outcomes.DrawnRequest;
import io.sequoialink.bench.outcomes.OutcomeTable;
import io.sequoialink.decision.Attempt;
import io.sequoialink.decision.Candidate;
import io.sequoialink.decision.CascadePolicy;
import io.sequoialink.decision.RequestFacts;
import io.sequoialink.decision.TierDecision;
import io.sequoialink.decision.cascade.BestAnswer;
import io.sequoialink.model.AccountId;
import io.sequoialink.model.ClassId;
import io.sequoialink.model.Effect;
import io.sequoialink.model.Labels;
import io.sequoialink.model.ModelVersion;
import io.sequoialink.model.RequestId;
import io.sequoialink.model.ServerId;
import io.sequoialink.model.VersionId;
import io.sequoialink.model.VersionState;

/**
 * Drives one policy over drawn requests in virtual time: answers take the time of their
 * tokens, ratings come later or not at all, and a caller sends the next turn of a session
 * only after the answer to the one before. Not thread-safe.
 */
final class CascadeRun {

	/** Wait for a rating, as a multiple of its mean delay; no rating comes later. */
	private static final double RATING_TIMEOUT = 1.5;

	private static final AccountId ACCOUNT = new AccountId("bench");

	private static final ServerId SERVER = new ServerId("table");

	private final OutcomeTable table;

	private final List<DrawnRequest> requests;

	private final CascadePolicy policy;

	private final Scenario scenario;

	private final RandomGenerator random;

	private final Books books;

	private final List<List<Candidate>> candidates = new ArrayList<>();

	private final Map<VersionId, Integer> indices = new HashMap<>();

	private final Map<Integer, VersionId> sessions = new HashMap<>();

	private final Map<Integer, List<DrawnRequest>> waiting = new HashMap<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::at).thenComparingLong(Event::order));

	private long order;

	private CascadeRun(OutcomeTable table, List<DrawnRequest> requests, CascadePolicy policy, Scenario scenario,
			long seed) {
		this.table = table;
		this.requests = requests;
		this.policy = policy;
		this.scenario = scenario;
		this.random = new SplittableRandom(seed);
		this.books = new Books(table, requests.size());
		for (OutcomeTable.VersionRow row : table.versions()) {
			this.indices.put(new VersionId(row.id()), this.indices.size());
		}
		table.classes().forEach((row) -> this.candidates.add(candidates(row)));
	}

	static Books run(OutcomeTable table, List<DrawnRequest> requests, CascadePolicy policy, Scenario scenario,
			long seed) {
		return new CascadeRun(table, requests, policy, scenario, seed).run();
	}

	private Books run() {
		this.requests.forEach((request) -> at(request.arrivalMillis(), (now) -> arrive(request, now)));
		while (!this.events.isEmpty()) {
			Event event = this.events.poll();
			event.action().run(event.at());
		}
		return this.books;
	}

	private void arrive(DrawnRequest request, long now) {
		if (request.turn() > 0 && !this.sessions.containsKey(request.session())) {
			this.waiting.computeIfAbsent(request.session(), (session) -> new ArrayList<>()).add(request);
			return;
		}
		RequestFacts facts = facts(request, now);
		TierDecision decision = this.policy.start(facts, offered(request), request.row().deadline(), this.random);
		dispatch(new Progress(request, facts, now, new ArrayList<>()), decision, now);
	}

	private void dispatch(Progress progress, TierDecision decision, long now) {
		int version = this.indices.get(decision.version());
		this.books.attempt(progress.request(), version, decision.exploration());
		OutcomeTable.VersionRow row = this.table.versions().get(version);
		long firstToken = now - progress.startedAt() + Math.round(row.firstToken());
		long end = now + Math.round(row.millis(progress.request().answerTokens()));
		at(end, (at) -> whole(progress, version, firstToken, at - now, at));
	}

	private void whole(Progress progress, int version, long firstToken, long millis, long now) {
		DrawnRequest request = progress.request();
		OptionalDouble rating = this.scenario.ratingsDown(share(request)) ? OptionalDouble.empty()
				: request.rating(version, this.scenario.factor(share(request), version));
		long delay = rating.isPresent() ? request.ratingDelayMillis(version)
				: Math.round(RATING_TIMEOUT * this.table.rating().delay());
		Attempt attempt = new Attempt(new VersionId(this.table.versions().get(version).id()), SERVER, Effect.DONE,
				rating, "whole", millis);
		boolean open = !single(progress) && worthWaiting(progress, version, now, delay);
		if (!open) {
			finish(progress, bestOf(progress, attempt), firstToken, now);
		}
		at(now + delay, (at) -> rated(progress, attempt, at, open));
	}

	private void rated(Progress progress, Attempt attempt, long now, boolean open) {
		this.policy.learn(progress.facts(), attempt, 1);
		progress.attempts().add(attempt);
		if (single(progress)) {
			return;
		}
		double remaining = progress.facts().deadlineMillis() - now;
		Optional<TierDecision> next = this.policy.next(progress.facts(), offered(progress.request()),
				progress.attempts(), open ? remaining : 0, this.random);
		if (next.isPresent() && open) {
			dispatch(progress, next.get(), now);
		}
		else if (open) {
			finish(progress, best(progress.attempts()), 0, now);
		}
	}

	private static boolean single(Progress progress) {
		return progress.facts().streamed() || progress.facts().sessionVersion().isPresent();
	}

	private int bestOf(Progress progress, Attempt last) {
		List<Attempt> all = new ArrayList<>(progress.attempts());
		all.add(new Attempt(last.version(), SERVER, Effect.DONE, OptionalDouble.empty(), "whole", last.millis()));
		return best(all);
	}

	private int best(List<Attempt> attempts) {
		return this.indices.get(attempts.get(BestAnswer.index(attempts)).version());
	}

	// Waits only where a rating can still change, in time, which answer the caller gets.
	private boolean worthWaiting(Progress progress, int version, long now, long delay) {
		double remaining = progress.facts().deadlineMillis() - now - delay;
		int above = Math.min(version + 1, this.table.versions().size() - 1);
		double soonest = this.table.versions().get(above).millis(progress.request().row().answerTokens().min());
		boolean escalable = above > version && soonest <= remaining;
		return escalable || (!progress.attempts().isEmpty() && remaining >= 0);
	}

	private void finish(Progress progress, int version, long firstToken, long now) {
		DrawnRequest request = progress.request();
		boolean good = request.good(version, this.scenario.factor(share(request), version));
		this.books.answered(request, good, firstToken, now - progress.startedAt());
		if (request.session() >= 0 && request.turn() == 0) {
			this.sessions.put(request.session(), new VersionId(this.table.versions().get(version).id()));
			List<DrawnRequest> held = this.waiting.remove(request.session());
			if (held != null) {
				held.forEach((turn) -> at(now, (at) -> arrive(turn, at)));
			}
		}
	}

	private RequestFacts facts(DrawnRequest request, long now) {
		Optional<VersionId> bound = (request.turn() > 0) ? Optional.of(this.sessions.get(request.session()))
				: Optional.empty();
		OutcomeTable.ClassRow row = request.row();
		return new RequestFacts(new RequestId("r" + request.index()), ACCOUNT, new ClassId(row.id()),
				row.qualityTarget(), now + row.deadline(), request.promptTokens(), row.answerTokens().max(),
				request.streamed(), bound, request.session() >= 0 && request.turn() == 0, 0, "", 0);
	}

	private double share(DrawnRequest request) {
		return (double) request.index() / this.requests.size();
	}

	private List<Candidate> offered(DrawnRequest request) {
		return this.candidates.get(request.classIndex());
	}

	private List<Candidate> candidates(OutcomeTable.ClassRow row) {
		return this.table.versions()
			.stream()
			.map((version) -> new Candidate(
					new ModelVersion(new VersionId(version.id()), Labels.none(), version.cost(), VersionState.OFFERED),
					version.firstToken(), version.millis(row.answerTokens().mean())))
			.toList();
	}

	private void at(long millis, Action action) {
		this.events.add(new Event(millis, this.order++, action));
	}

	@FunctionalInterface
	private interface Action {

		void run(long now);

	}

	private record Event(long at, long order, Action action) {
	}

	private record Progress(DrawnRequest request, RequestFacts facts, long startedAt, List<Attempt> attempts) {
	}

}
