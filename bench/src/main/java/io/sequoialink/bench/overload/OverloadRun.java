package io.sequoialink.bench.overload;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;
import java.util.stream.IntStream;

import io.sequoialink.decision.Attempt;
import io.sequoialink.decision.RequestFacts;
import io.sequoialink.decision.RetryPolicy;
import io.sequoialink.decision.limits.FleetAdmissionPolicy;
import io.sequoialink.decision.limits.LimitSettings;
import io.sequoialink.decision.retry.BudgetedRetryPolicy;
import io.sequoialink.decision.retry.RetrySettings;
import io.sequoialink.model.AccountId;
import io.sequoialink.model.AccountLimits;
import io.sequoialink.model.ClassId;
import io.sequoialink.model.ClientAccount;
import io.sequoialink.model.Effect;
import io.sequoialink.model.HostId;
import io.sequoialink.model.Labels;
import io.sequoialink.model.RequestId;
import io.sequoialink.model.Selector;
import io.sequoialink.model.ServerId;
import io.sequoialink.model.VersionId;
import org.HdrHistogram.Histogram;

/**
 * Hosts with their admission and retry policies before engines that run a bounded number
 * of requests at a time, queue a few more and reject the rest. One large account and nine
 * small ones arrive open-loop. Virtual time; not thread-safe.
 */
final class OverloadRun {

	private static final int ENGINES = 12;

	private static final int SLOTS = 8;

	private static final int QUEUE = 64;

	private static final int SMALL_ACCOUNTS = 9;

	/** Offered load of each small account, as a share of the capacity. */
	private static final double SMALL_LOAD = 0.02;

	private static final double MEAN_TOKENS = 60;

	private static final double MILLIS_PER_TOKEN = 8;

	private static final double FIRST_TOKEN_MILLIS = 60;

	private static final double FAILURE_SHARE = 0.01;

	private static final long DEADLINE_MILLIS = 4_000;

	private static final long REPORT_MILLIS = 500;

	private static final long WARM_UP_MILLIS = 10_000;

	private static final long RUN_MILLIS = 70_000;

	private final boolean limited;

	private final SplittableRandom random;

	private final List<Host> hosts;

	private final List<ClientAccount> accounts;

	private final List<Engine> engines = IntStream.range(0, ENGINES).mapToObj(Engine::new).toList();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::at).thenComparingLong(Event::order));

	private final Books books = new Books();

	private long order;

	private int requests;

	OverloadRun(int hostCount, boolean limited, long seed) {
		this.limited = limited;
		this.random = new SplittableRandom(seed);
		List<HostId> ids = IntStream.range(0, hostCount).mapToObj((i) -> new HostId("host-" + i)).toList();
		this.hosts = ids.stream().map((id) -> new Host(id, ids)).toList();
		this.accounts = IntStream.rangeClosed(0, SMALL_ACCOUNTS)
			.mapToObj((i) -> new ClientAccount(new AccountId("account-" + i), Labels.none(), "00",
					Selector.everything(), 0, AccountLimits.UNLIMITED))
			.toList();
	}

	// Offers a multiple of the capacity; the small accounts' part stays the same.
	Books run(double load) {
		double capacity = ENGINES * SLOTS / (FIRST_TOKEN_MILLIS + MEAN_TOKENS * MILLIS_PER_TOKEN);
		double large = Math.max(0, load - SMALL_ACCOUNTS * SMALL_LOAD);
		for (int i = 0; i <= SMALL_ACCOUNTS; i++) {
			double rate = capacity * ((i > 0) ? SMALL_LOAD : large);
			if (rate > 0) {
				arrivals(this.accounts.get(i), rate);
			}
		}
		for (long at = 0; at < RUN_MILLIS; at += REPORT_MILLIS) {
			at(at, this::exchange);
		}
		while (!this.events.isEmpty()) {
			Event event = this.events.poll();
			event.action().accept(event.at());
		}
		return this.books;
	}

	private void arrivals(ClientAccount account, double rate) {
		double at = 0;
		while (at < RUN_MILLIS) {
			at -= Math.log(1 - this.random.nextDouble()) / rate;
			Host host = this.hosts.get(this.random.nextInt(this.hosts.size()));
			int tokens = 1 + this.random.nextInt((int) (2 * MEAN_TOKENS) - 1);
			at((long) at, (now) -> arrive(host, account, tokens, now));
		}
	}

	private void exchange(long now) {
		this.engines.forEach((engine) -> engine.reported = engine.running + engine.queue.size());
		for (Host from : this.hosts) {
			byte[] payload = from.admission.announceDemand(now);
			this.hosts.forEach((to) -> to.admission.applyAnnouncement(payload, now));
		}
	}

	private void arrive(Host host, ClientAccount account, int tokens, long now) {
		RequestFacts facts = new RequestFacts(new RequestId("q" + this.requests++), account.id(), new ClassId("c"), 0.9,
				now + DEADLINE_MILLIS, 0, (int) (2 * MEAN_TOKENS), false, Optional.empty(), false, 0, "aa", 0);
		boolean counted = now >= WARM_UP_MILLIS;
		this.books.offered += counted ? 1 : 0;
		if (this.limited && host.admission.admit(account, facts, now).isPresent()) {
			this.books.refused += counted ? 1 : 0;
			return;
		}
		this.books.admitted += counted ? 1 : 0;
		dispatch(new Work(host, account, facts, tokens, now, counted, new ArrayList<>()), now);
	}

	private void dispatch(Work work, long now) {
		this.books.attempts += work.counted ? 1 : 0;
		Engine engine = choose(work.host);
		work.host.inFlight[engine.index]++;
		if (engine.running < SLOTS) {
			start(work, engine, now);
		}
		else if (engine.queue.size() < QUEUE) {
			engine.queue.addLast(work);
		}
		else {
			over(work, engine, "rejected", Effect.NONE, now);
		}
	}

	// Compares own requests in flight and the lagged report of two engines.
	private Engine choose(Host host) {
		Engine first = this.engines.get(this.random.nextInt(ENGINES));
		Engine second = this.engines.get(this.random.nextInt(ENGINES));
		return (host.load(second) < host.load(first)) ? second : first;
	}

	private void start(Work work, Engine engine, long now) {
		engine.running++;
		boolean fails = this.random.nextDouble() < FAILURE_SHARE;
		double whole = FIRST_TOKEN_MILLIS + work.tokens * MILLIS_PER_TOKEN;
		double millis = fails ? whole * this.random.nextDouble() : whole;
		at(now + Math.round(millis), (at) -> {
			engine.running--;
			over(work, engine, fails ? "cut_off" : "whole", fails ? Effect.UNKNOWN : Effect.DONE, at);
			Work next = engine.queue.pollFirst();
			if (next != null) {
				start(next, engine, at);
			}
		});
	}

	private void over(Work work, Engine engine, String outcome, Effect effect, long now) {
		work.host.inFlight[engine.index]--;
		work.attempts.add(new Attempt(new VersionId("v"), new ServerId("engine-" + engine.index), effect,
				OptionalDouble.empty(), outcome, now - work.arrivedAt));
		if ("whole".equals(outcome)) {
			finish(work, true, now);
			return;
		}
		RetryPolicy.Decision verdict = this.limited
				? work.host.retry.decide(work.facts, work.attempts, true, work.facts.deadlineMillis() - now)
				: new RetryPolicy.Decision(work.attempts.size() < 3, 20, "always");
		if (verdict.retry()) {
			at(now + verdict.delayMillis(), (at) -> dispatch(work, at));
		}
		else {
			finish(work, false, now);
		}
	}

	private void finish(Work work, boolean whole, long now) {
		long millis = now - work.arrivedAt;
		if (this.limited) {
			work.host.admission.release(work.account, whole ? work.tokens : 0, millis, now);
		}
		if (whole) {
			work.host.retry.recordSuccess();
		}
		if (!work.counted) {
			return;
		}
		this.books.ended++;
		boolean late = now > work.facts.deadlineMillis();
		this.books.late += (whole && late) ? 1 : 0;
		if (whole && !late && now < RUN_MILLIS) {
			this.books.usefulMillis += FIRST_TOKEN_MILLIS + work.tokens * MILLIS_PER_TOKEN;
		}
		if (whole && work.account != this.accounts.get(0)) {
			this.books.small.recordValue(millis);
		}
	}

	private void at(long millis, LongConsumer action) {
		this.events.add(new Event(millis, this.order++, action));
	}

	/** What a run counted after its warm-up. Confined to the run's thread. */
	static final class Books {

		int offered;

		int refused;

		int admitted;

		int ended;

		int attempts;

		int late;

		double usefulMillis;

		final Histogram small = new Histogram(3);

		double goodput() {
			return this.usefulMillis / ((RUN_MILLIS - WARM_UP_MILLIS) * (double) (ENGINES * SLOTS));
		}

		double amplification() {
			return this.attempts / (double) Math.max(1, this.admitted);
		}

		double smallP95() {
			return this.small.getValueAtPercentile(95);
		}

	}

	private record Event(long at, long order, LongConsumer action) {
	}

	private record Work(Host host, ClientAccount account, RequestFacts facts, int tokens, long arrivedAt,
			boolean counted, List<Attempt> attempts) {
	}

	/** One host. Confined to the run's thread. */
	private static final class Host {

		private final FleetAdmissionPolicy admission;

		private final BudgetedRetryPolicy retry = new BudgetedRetryPolicy(RetrySettings.defaults());

		private final int[] inFlight = new int[ENGINES];

		private Host(HostId id, List<HostId> members) {
			this.admission = new FleetAdmissionPolicy(id, () -> members, () -> ENGINES * SLOTS,
					LimitSettings.defaults());
		}

		private double load(Engine engine) {
			return this.inFlight[engine.index] + 0.5 * engine.reported;
		}

	}

	/** One engine. Confined to the run's thread. */
	private static final class Engine {

		private final int index;

		private final Deque<Work> queue = new ArrayDeque<>();

		private int running;

		private int reported;

		private Engine(int index) {
			this.index = index;
		}

	}

}
