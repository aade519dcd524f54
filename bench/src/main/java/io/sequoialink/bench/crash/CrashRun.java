package io.sequoialink.bench.crash;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;
import java.util.stream.IntStream;

import io.sequoialink.decision.Attempt;
import io.sequoialink.decision.RequestFacts;
import io.sequoialink.decision.crash.CrashSettings;
import io.sequoialink.decision.crash.FingerprintCrashGuard;
import io.sequoialink.decision.rollout.Hashes;
import io.sequoialink.model.AccountId;
import io.sequoialink.model.Brake;
import io.sequoialink.model.ClassId;
import io.sequoialink.model.Effect;
import io.sequoialink.model.HostId;
import io.sequoialink.model.RefusalCode;
import io.sequoialink.model.RequestId;
import io.sequoialink.model.ServerId;
import io.sequoialink.model.VersionId;

/**
 * Hosts with one guard each before servers that run several requests at a time and stop
 * when they run the poisonous one; servers also stop by themselves. A caller sends the
 * poisonous request again through each host in turn, whatever it was told. An innocent
 * request that was cut off or told to wait is sent again until its deadline. Virtual
 * time; not thread-safe.
 */
final class CrashRun {

	private static final int SERVERS = 12;

	private static final int SERVER_SLOTS = 16;

	private static final int RESENT = 50;

	private static final int INNOCENT = 6_000;

	/** Requests a second, far below what the servers can run. */
	private static final double RATE = 50;

	/** Identical innocent requests share a fingerprint now and then. */
	private static final int INNOCENT_FINGERPRINTS = 2_000;

	private static final int SPONTANEOUS = 2;

	private static final long MESSAGE_MILLIS = 50;

	private static final long RESTART_MILLIS = 5_000;

	private static final long RESEND_MILLIS = 300;

	/** Time for which a server takes no other work for the sake of a trial. */
	private static final long RESERVED_MILLIS = 5_000;

	private static final long DEADLINE_MILLIS = 30_000;

	private static final String POISON = "dead";

	private final boolean guarded;

	private final SplittableRandom random;

	private final List<HostId> ids;

	private final List<FingerprintCrashGuard> guards;

	private final List<Server> servers = IntStream.range(0, SERVERS).mapToObj(Server::new).toList();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::at).thenComparingLong(Event::order));

	private final Books books = new Books();

	private long order;

	private int requests;

	CrashRun(int hosts, boolean guarded, long seed) {
		this.guarded = guarded;
		this.random = new SplittableRandom(seed);
		this.ids = IntStream.range(0, hosts).mapToObj((i) -> new HostId("host-" + i)).toList();
		this.guards = this.ids.stream()
			.map((id) -> new FingerprintCrashGuard(id,
					(fingerprint) -> Hashes.owner(fingerprint, id, () -> this.ids).equals(id), () -> 1,
					CrashSettings.defaults()))
			.toList();
	}

	Books run() {
		double at = 0;
		for (int i = 0; i < INNOCENT; i++) {
			at += -1000 / RATE * Math.log(1 - this.random.nextDouble());
			Work work = new Work(request("f" + this.random.nextInt(INNOCENT_FINGERPRINTS), (long) at), false);
			at((long) at, (now) -> arrive(work, this.random.nextInt(this.ids.size()), now));
		}
		long end = (long) at;
		for (int i = 0; i < RESENT; i++) {
			int host = i % this.ids.size();
			long sent = 5_000 + i * (end - 10_000) / RESENT;
			at(sent, (now) -> arrive(new Work(request(POISON, now), true), host, now));
		}
		for (int i = 0; i < SPONTANEOUS; i++) {
			Server server = this.servers.get(this.random.nextInt(SERVERS));
			at(this.random.nextLong(end), (now) -> crash(server, now));
		}
		while (!this.events.isEmpty()) {
			Event event = this.events.poll();
			event.action().accept(event.at());
		}
		return this.books;
	}

	private void arrive(Work work, int host, long now) {
		if (work.poison) {
			this.books.resent++;
		}
		else {
			this.books.innocent++;
		}
		dispatch(work, host, now);
	}

	private void dispatch(Work work, int host, long now) {
		if (now > work.facts.deadlineMillis()) {
			this.books.innocentExpired += work.poison ? 0 : 1;
			return;
		}
		FingerprintCrashGuard guard = this.guards.get(host);
		if (this.guarded && guard.belongsElsewhere(work.facts, now)) {
			int owner = this.ids.indexOf(Hashes.owner(work.facts.fingerprint(), this.ids.get(host), () -> this.ids));
			at(now + 1, (at) -> dispatch(work, owner, at));
			return;
		}
		boolean sole = this.guarded && guard.requiresExclusiveServer(work.facts, now);
		Optional<Server> server = sole ? soleServer(now)
				: this.servers.stream()
					.filter((candidate) -> candidate.up && candidate.reservedUntil <= now
							&& candidate.running.size() < SERVER_SLOTS)
					.min(Comparator.comparingInt((candidate) -> candidate.running.size()));
		if (server.isEmpty()) {
			at(now + RESEND_MILLIS, (at) -> dispatch(work, host, at));
			return;
		}
		if (this.guarded && refused(work, host, now)) {
			return;
		}
		begin(work, host, server.get(), sole, now);
	}

	private boolean refused(Work work, int host, long now) {
		return this.guards.get(host).beforeDispatch(work.facts, now).map((refusal) -> {
			if (refusal.code() != RefusalCode.REQUEST_BRAKED) {
				this.books.waits++;
				at(now + RESEND_MILLIS, (at) -> dispatch(work, host, at));
			}
			else if (!work.poison) {
				this.books.innocentRefused++;
			}
			return true;
		}).orElse(false);
	}

	// Returns a server without other requests; if there is none, lets one run empty.
	private Optional<Server> soleServer(long now) {
		Optional<Server> empty = this.servers.stream()
			.filter((server) -> server.up && server.running.isEmpty())
			.findFirst();
		boolean emptying = this.servers.stream().anyMatch((server) -> server.up && server.reservedUntil > now);
		if (empty.isEmpty() && !emptying) {
			this.servers.stream()
				.filter((server) -> server.up)
				.min(Comparator.comparingInt((server) -> server.running.size()))
				.ifPresent((server) -> server.reservedUntil = now + RESERVED_MILLIS);
		}
		return empty;
	}

	private void begin(Work work, int host, Server server, boolean sole, long now) {
		server.reservedUntil = sole ? now + RESERVED_MILLIS : server.reservedUntil;
		Run run = new Run(work, host);
		server.running.add(run);
		long millis = work.poison ? 150 : 200 + this.random.nextLong(2_000);
		at(now + millis, (at) -> {
			if (!run.over && work.poison) {
				this.books.crashedByPoison++;
				crash(server, at);
			}
			else if (!run.over) {
				server.running.remove(run);
				server.reservedUntil = sole ? at + RESEND_MILLIS + 1 : server.reservedUntil;
				ended(run, server, false, at);
				this.books.innocentAnswered++;
			}
		});
	}

	private void crash(Server server, long now) {
		if (!server.up) {
			return;
		}
		server.up = false;
		server.reservedUntil = 0;
		List<Run> cut = new ArrayList<>(server.running);
		server.running.clear();
		cut.forEach((run) -> ended(run, server, true, now));
		at(now + RESTART_MILLIS, (at) -> server.up = true);
	}

	private void ended(Run run, Server server, boolean crashed, long now) {
		run.over = true;
		Work work = run.work;
		Attempt attempt = new Attempt(new VersionId("v"), new ServerId("server-" + server.index),
				crashed ? Effect.UNKNOWN : Effect.DONE, OptionalDouble.empty(), crashed ? "cut_off" : "whole", 100);
		FingerprintCrashGuard guard = this.guards.get(run.host);
		guard.afterAttempt(work.facts, attempt, crashed, now).ifPresent((brake) -> spread(run.host, brake, now));
		if (crashed) {
			guard.suspectedFingerprints(now).forEach((fingerprint) -> spreadSuspicion(run.host, fingerprint, now));
		}
		if (crashed && !work.poison) {
			at(now + RESEND_MILLIS, (at) -> dispatch(work, run.host, at));
		}
	}

	private void spread(int from, Brake brake, long now) {
		this.guards.forEach((peer) -> at(now + MESSAGE_MILLIS, (at) -> peer.accept(brake)));
		this.books.brakes.add(this.ids.get(from) + ":" + brake.target());
	}

	private void spreadSuspicion(int from, String fingerprint, long now) {
		this.guards.forEach(
				(peer) -> at(now + MESSAGE_MILLIS, (at) -> peer.addPeerSuspicion(this.ids.get(from), fingerprint, at)));
	}

	private RequestFacts request(String fingerprint, long now) {
		return new RequestFacts(new RequestId("q" + this.requests++), new AccountId("bench"), new ClassId("c"), 0.9,
				now + DEADLINE_MILLIS, 100, 100, false, Optional.empty(), false, 0, fingerprint, 0);
	}

	private void at(long millis, LongConsumer action) {
		this.events.add(new Event(millis, this.order++, action));
	}

	/** What a run counted. Confined to the run's thread; read after its end. */
	static final class Books {

		int resent;

		int crashedByPoison;

		int innocent;

		int innocentAnswered;

		int innocentRefused;

		int innocentExpired;

		int waits;

		final List<String> brakes = new ArrayList<>();

	}

	private record Event(long at, long order, LongConsumer action) {
	}

	private record Work(RequestFacts facts, boolean poison) {
	}

	/** One request on a server. Confined to the run's thread. */
	private static final class Run {

		private final Work work;

		private final int host;

		private boolean over;

		private Run(Work work, int host) {
			this.work = work;
			this.host = host;
		}

	}

	/** A backend server. Confined to the run's thread. */
	private static final class Server {

		private final int index;

		private final List<Run> running = new ArrayList<>();

		private boolean up = true;

		private long reservedUntil;

		private Server(int index) {
			this.index = index;
		}

	}

}
