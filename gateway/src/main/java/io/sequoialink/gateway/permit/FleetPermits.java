package io.sequoialink.gateway.permit;

import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.sequoialink.decision.limits.ColdNotice;
import io.sequoialink.decision.limits.ColdServers;
import io.sequoialink.decision.limits.LimitObservation;
import io.sequoialink.decision.limits.PermitDecision;
import io.sequoialink.decision.limits.PermitIssuer;
import io.sequoialink.decision.limits.ServerLimits;
import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.count.LabelledCounters;
import io.sequoialink.gateway.feed.EventLoopTimer;
import io.sequoialink.gateway.relay.DatagramSender;
import io.sequoialink.gateway.relay.Peer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Gets permits from the hosts that own the slices of a server's limit, and issues those
 * of the slices that this host owns. Confined to the event loop.
 *
 * <p>
 * Invariants: a host issues permits for a slice to others only if it owns the slice in
 * its own view. A host that does not reach the owner keeps to a small share of the slice,
 * such that all hosts together add at most {@link #UNREACHED_SHARE} of the limit, however
 * they lose touch with one another. The limit of a server is the stricter one of the
 * limit that it names and that of {@link ColdServers}.
 */
public final class FleetPermits implements RequestPermits {

	private static final Logger logger = LoggerFactory.getLogger(FleetPermits.class);

	/** Time after which a question is asked again, in milliseconds. */
	static final long REPEAT_MILLIS = 60;

	/** Time after which a question counts as unanswered, in milliseconds. */
	static final long ANSWER_MILLIS = 160;

	/** Longest wait for which a permit is given to another host, in nanoseconds. */
	static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(5);

	/** A host that asks one that is no owner asks again after this, in nanoseconds. */
	private static final long NOT_OWNER_NANOS = TimeUnit.SECONDS.toNanos(2);

	private static final double OWNER_SHARE = 1.0 / PermitIssuer.SLICES;

	/**
	 * Part of a slice that all hosts together use that do not reach its owner. The owner
	 * may still issue the whole slice to others.
	 */
	static final double UNREACHED_SHARE = 0.25;

	/** Time after an unanswered question in which no other is asked, in nanoseconds. */
	private static final long SILENT_NANOS = TimeUnit.SECONDS.toNanos(3);

	/** Questions of others whose answers are kept, for those that are asked again. */
	private static final int MAX_REMEMBERED = 1024;

	private static final int MAX_SERVERS = 4096;

	private static final int MAX_SILENT = 1024;

	private final Peer self;

	private final ServerLimits limits;

	private final ColdServers cold;

	private final PermitIssuer issuer;

	private final PermitOwners owners;

	private final Map<String, Long> silentUntil = bounded(MAX_SILENT);

	private final DatagramSender sender;

	private final EventLoopTimer timer;

	private final LabelledCounters counts;

	private final LongFunction<String> serverNames;

	private final LongSupplier clock;

	private final RandomGenerator random;

	private final Map<Long, SliceTimes> times = bounded(MAX_SERVERS);

	private final Map<Integer, Question> questions = new HashMap<>();

	private final Map<String, PermitDecision> remembered = bounded(MAX_REMEMBERED);

	private int lastNumber;

	/**
	 * Creates permits of a host that has just started.
	 * @param self this host
	 * @param others returns the other hosts that are known
	 * @param limits limits that servers name
	 * @param cold limits of cold servers
	 * @param sender sends datagrams
	 * @param timer runs a task on the event loop after a delay
	 * @param counts counts decisions, with labels for the server and the outcome
	 * @param serverNames returns the name of a server incarnation, given its hash
	 * @param clock monotonic time in nanoseconds
	 * @param random source of randomness
	 */
	public FleetPermits(Peer self, Supplier<List<Peer>> others, ServerLimits limits, ColdServers cold,
			DatagramSender sender, EventLoopTimer timer, LabelledCounters counts, LongFunction<String> serverNames,
			LongSupplier clock, RandomGenerator random) {
		this.self = self;
		this.limits = limits;
		this.cold = cold;
		this.issuer = new PermitIssuer(random, clock.getAsLong());
		this.owners = new PermitOwners(self, others);
		this.sender = sender;
		this.timer = timer;
		this.counts = counts;
		this.serverNames = serverNames;
		this.clock = clock;
		this.random = random;
		this.lastNumber = random.nextInt();
	}

	private static <K, V> Map<K, V> bounded(int max) {
		return new LinkedHashMap<>(16, 0.75f, true) {
			@Override
			protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
				return size() > max;
			}
		};
	}

	@Override
	public boolean anyLimited() {
		return this.limits.anyInForce() || this.cold.anyInForce(this.clock.getAsLong());
	}

	@Override
	public OptionalDouble limitPerSecond(long server) {
		return limitPerSecond(server, this.clock.getAsLong());
	}

	// The stricter one of the limit that the server names and that of a cold server.
	private OptionalDouble limitPerSecond(long server, long now) {
		OptionalDouble named = this.limits.perSecond(server);
		OptionalDouble ofCold = this.cold.perSecond(server, now);
		boolean namedHolds = ofCold.isEmpty() || (named.isPresent() && named.getAsDouble() <= ofCold.getAsDouble());
		return namedHolds ? named : ofCold;
	}

	// The limit with the time since when the server has been limited at all.
	private Optional<PermitIssuer.Limit> limit(long server, long now) {
		OptionalDouble perSecond = limitPerSecond(server, now);
		if (perSecond.isEmpty()) {
			return Optional.empty();
		}
		long coldFor = now - this.cold.sinceNanos(server, now).orElse(now);
		long namedFor = now - this.limits.limitedSinceNanos(server).orElse(now);
		return Optional.of(new PermitIssuer.Limit(perSecond.getAsDouble(), now - Math.max(coldFor, namedFor)));
	}

	@Override
	public long coldNanos(long server) {
		return this.cold.find(server, this.clock.getAsLong()).map(ColdNotice::leftNanos).orElse(0L);
	}

	@Override
	public boolean turnedColdSince(long server, long nanos) {
		OptionalLong since = this.cold.sinceNanos(server, this.clock.getAsLong());
		return since.isPresent() && since.getAsLong() - nanos > 0;
	}

	@Override
	public int hosts() {
		return this.owners.hostCount(this.clock.getAsLong());
	}

	@Override
	public long earliestNanos(long server) {
		OptionalDouble limit = limitPerSecond(server);
		if (limit.isEmpty()) {
			return 0;
		}
		SliceTimes known = times(server, limit.getAsDouble());
		return Math.max(0, known.nextNanos[known.earliest(this.random)] - this.clock.getAsLong());
	}

	private SliceTimes times(long server, double perSecond) {
		SliceTimes known = this.times.get(server);
		if (known == null || known.perSecond != perSecond) {
			known = new SliceTimes(perSecond, this.clock.getAsLong());
			this.times.put(server, known);
		}
		return known;
	}

	@Override
	public void acquire(long server, long maxWaitNanos, Consumer<PermitDecision> receiver) {
		long now = this.clock.getAsLong();
		Optional<PermitIssuer.Limit> inForce = limit(server, now);
		if (inForce.isEmpty()) {
			receiver.accept(new PermitDecision(true, 0, 0));
			return;
		}
		PermitIssuer.Limit limit = inForce.get();
		SliceTimes known = times(server, limit.perSecond());
		int slice = known.earliest(this.random);
		long earliest = Math.max(0, known.nextNanos[slice] - now);
		if (earliest > maxWaitNanos) {
			receiver.accept(new PermitDecision(false, 0, earliest));
			return;
		}
		PermitIssuer.Key key = new PermitIssuer.Key(server, slice);
		Peer owner = this.owners.owner(key, now);
		boolean isCold = this.cold.sinceNanos(server, now).isPresent();
		Question question = new Question(key, known, maxWaitNanos, receiver, owner, isCold);
		if (owner.equals(this.self)) {
			finish(question, this.issuer.issue(key, limit, OWNER_SHARE, now, maxWaitNanos));
		}
		else if (silentNanos(owner, isCold, now) > 0) {
			double share = OWNER_SHARE * UNREACHED_SHARE / this.owners.hostCount(now);
			PermitDecision own = this.issuer.issue(new PermitIssuer.Key(server, -1 - slice), limit, share, now,
					maxWaitNanos);
			finish(question, new PermitDecision(own.granted(), own.delayNanos(),
					Math.min(own.nextNanos(), silentNanos(owner, isCold, now))));
		}
		else {
			ask(question, now);
		}
	}

	// Returns how long an owner that did not answer is not asked again.
	private long silentNanos(Peer owner, boolean isCold, long now) {
		long silent = this.silentUntil.getOrDefault(owner.host(), now) - now;
		long silentIfCold = isCold ? this.silentUntil.getOrDefault(silenceKey(owner, true), now) - now : 0;
		return Math.max(0, Math.max(silent, silentIfCold));
	}

	// A host of an earlier build answers no question about a cold server, but other ones,
	// so only another such question tells whether it still does not.
	private static String silenceKey(Peer owner, boolean isCold) {
		return isCold ? owner.host() + " cold" : owner.host();
	}

	// A request does not wait longer for a cold server than one way and back takes while
	// there is a warm one.
	private void ask(Question question, long now) {
		int number = ++this.lastNumber;
		LimitObservation limit = this.limits.find(question.key.server())
			.orElse(new LimitObservation(LimitObservation.UNLIMITED, now));
		byte[] datagram = PermitFormat.write(new PermitMessage.Ask(this.self.host(), number, question.key.server(),
				question.key.slice(), limit, question.maxWaitNanos, this.cold.find(question.key.server(), now)), now);
		this.questions.put(number, question);
		this.sender.send(question.owner.address(), datagram);
		if (question.cold && question.maxWaitNanos == 0) {
			this.timer.schedule(() -> giveUp(number), REPEAT_MILLIS);
			return;
		}
		this.timer.schedule(() -> repeat(number, datagram), REPEAT_MILLIS);
		this.timer.schedule(() -> giveUp(number), ANSWER_MILLIS);
	}

	private void repeat(int number, byte[] datagram) {
		Question question = this.questions.get(number);
		if (question != null) {
			this.sender.send(question.owner.address(), datagram);
		}
	}

	private void giveUp(int number) {
		Question question = this.questions.remove(number);
		if (question == null) {
			return;
		}
		this.silentUntil.put(silenceKey(question.owner, question.cold), this.clock.getAsLong() + SILENT_NANOS);
		count(question, "unanswered");
		question.receiver.accept(new PermitDecision(false, 0, 0));
	}

	private void finish(Question question, PermitDecision decision) {
		question.times.nextNanos[question.key.slice()] = this.clock.getAsLong() + decision.nextNanos();
		count(question, decision.granted() ? "granted" : "denied");
		question.receiver.accept(decision);
	}

	private void count(Question question, String outcome) {
		this.counts.increment(this.serverNames.apply(question.key.server()), outcome);
	}

	/**
	 * Answers a question of another host.
	 * @param from the host
	 * @param ask the question
	 */
	void answer(Peer from, PermitMessage.Ask ask) {
		long now = this.clock.getAsLong();
		PermitDecision decision = this.remembered.computeIfAbsent(from.host() + ' ' + ask.number(),
				(question) -> decide(from, ask, now));
		this.sender.send(from.address(),
				PermitFormat.write(new PermitMessage.Answer(this.self.host(), ask.number(), decision), now));
	}

	// A host that asks about a cold server knows a limit that this one may not know yet.
	// Without it the permit would be granted at once, to each host that asks.
	private PermitDecision decide(Peer from, PermitMessage.Ask ask, long now) {
		ask.cold().ifPresent((told) -> adopt(from, ask.server(), told, now));
		Optional<PermitIssuer.Limit> limit = limit(ask.server(), now);
		if (limit.isEmpty()) {
			return new PermitDecision(true, 0, 0);
		}
		PermitIssuer.Key key = new PermitIssuer.Key(ask.server(), ask.slice());
		if (!this.owners.owner(key, now).equals(this.self)) {
			return new PermitDecision(false, 0, NOT_OWNER_NANOS);
		}
		return this.issuer.issue(key, limit.get(), OWNER_SHARE, now, Math.min(MAX_WAIT_NANOS, ask.maxWaitNanos()));
	}

	private void adopt(Peer from, long server, ColdNotice told, long now) {
		if (this.cold.told(server, told, now)) {
			logger.info(GatewayEvents.SERVER_COLD, this.serverNames.apply(server),
					TimeUnit.NANOSECONDS.toMillis(told.leftNanos()), told.perSecond(), "host " + from.host());
		}
	}

	/**
	 * Takes another host's answer.
	 * @param answer the answer
	 */
	void answered(PermitMessage.Answer answer) {
		Question question = this.questions.get(answer.number());
		if (question != null && question.owner.host().equals(answer.sender())) {
			this.questions.remove(answer.number());
			finish(question, answer.decision());
		}
	}

	/**
	 * Returns a host that is known.
	 * @param host name of the host
	 * @return the host, {@code null} if it is not known
	 */
	Peer findHost(String host) {
		return this.owners.host(host, this.clock.getAsLong());
	}

	/**
	 * Called when a datagram of another host arrives, so that it is asked again.
	 * @param host the host
	 */
	void heard(Peer host) {
		this.silentUntil.remove(host.host());
	}

	/**
	 * Returns whether this host is one of the few that act for all with regard to a
	 * server.
	 * @param server hash of the server's incarnation
	 * @return whether this host owns a slice, whether or not the server is limited
	 */
	public boolean ownsSlice(long server) {
		return ownedSlices(server) > 0;
	}

	/**
	 * Returns how many slices of a server's limit this host owns.
	 * @param server hash of the server's incarnation
	 * @return number of slices
	 */
	int ownedSlices(long server) {
		int owned = 0;
		for (int slice = 0; slice < PermitIssuer.SLICES; slice++) {
			Peer owner = this.owners.owner(new PermitIssuer.Key(server, slice), this.clock.getAsLong());
			owned += owner.equals(this.self) ? 1 : 0;
		}
		return owned;
	}

	/**
	 * Earliest times of the next permits of a server's slices, as far as known here.
	 */
	private static final class SliceTimes {

		private final double perSecond;

		private final long[] nextNanos = new long[PermitIssuer.SLICES];

		private SliceTimes(double perSecond, long nowNanos) {
			this.perSecond = perSecond;
			Arrays.fill(this.nextNanos, nowNanos);
		}

		private int earliest(RandomGenerator random) {
			int first = random.nextInt(this.nextNanos.length);
			int earliest = first;
			for (int i = 1; i < this.nextNanos.length; i++) {
				int slice = (first + i) % this.nextNanos.length;
				earliest = (this.nextNanos[slice] - this.nextNanos[earliest] < 0) ? slice : earliest;
			}
			return earliest;
		}

	}

	/**
	 * A question that awaits its answer. Immutable.
	 *
	 * @param key server and slice
	 * @param times known times of the server's slices
	 * @param maxWaitNanos longest time until the permit, in nanoseconds
	 * @param receiver receives the decision
	 * @param owner the host that owns the slice
	 * @param cold whether the server is cold
	 */
	private record Question(PermitIssuer.Key key, SliceTimes times, long maxWaitNanos,
			Consumer<PermitDecision> receiver, Peer owner, boolean cold) {
	}

}
