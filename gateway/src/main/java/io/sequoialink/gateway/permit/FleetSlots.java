package io.sequoialink.gateway.permit;

import java.io.IOException;
import java.net.InetAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import java.util.function.ToLongFunction;

import com.dynatrace.hash4j.hashing.Hashing;
import io.sequoialink.decision.limits.PermitDecision;
import io.sequoialink.decision.limits.PermitIssuer;
import io.sequoialink.decision.limits.SlotAccount;
import io.sequoialink.gateway.feed.EventLoopTimer;
import io.sequoialink.gateway.fleet.ServerEntry;
import io.sequoialink.gateway.relay.DatagramSender;
import io.sequoialink.gateway.relay.Peer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Permits that also keep all hosts together from sending a brittle server more requests
 * than it has slots for. Confined to the event loop.
 *
 * <p>
 * One host, drawn by rendezvous hashing, keeps the account of a server's slots. The
 * others report to it how many requests they have there, at each end of one, and ask it
 * before they send one. Hosts that do not reach the account's keeper use at most as many
 * slots together as there are; the keeper may give as many to others meanwhile, until the
 * server's rejections stop the former for a second at a time.
 */
public final class FleetSlots implements RequestPermits {

	private static final Logger logger = LoggerFactory.getLogger(FleetSlots.class);

	/** Time between two looks at what changed at brittle servers, in milliseconds. */
	public static final long ROUND_MILLIS = 250;

	/** Time after which a request that waits for a slot asks again, in milliseconds. */
	private static final long WAIT_STEP_MILLIS = 60;

	/** Requests of this host that may wait for a slot at a time. */
	private static final int MAX_WAITING = 16;

	private final Peer self;

	private final RequestPermits rates;

	private final PermitOwners keepers;

	private final BrittleServices brittle;

	private final ToIntFunction<ServerEntry> inFlight;

	private final DatagramSender sender;

	private final EventLoopTimer timer;

	private final LongSupplier clock;

	private final Map<Long, SlotAccount> accounts = new HashMap<>();

	private final Map<Long, Use> uses = new HashMap<>();

	private final SlotQuestions questions;

	private long lastNumber;

	private long lastSequence;

	private int waiting;

	/**
	 * Creates permits of a host that knows of no brittle server.
	 * @param self this host
	 * @param others returns the other hosts that are known
	 * @param rates permits of servers that limit the rate of requests
	 * @param servers returns the registered servers
	 * @param incarnations returns the hash of a server's incarnation
	 * @param inFlight returns the number of this host's requests at a server
	 * @param sender sends datagrams
	 * @param timer runs a task on the event loop after a delay
	 * @param clock monotonic time in nanoseconds
	 */
	public FleetSlots(Peer self, Supplier<List<Peer>> others, RequestPermits rates,
			Supplier<Collection<ServerEntry>> servers, ToLongFunction<ServerEntry> incarnations,
			ToIntFunction<ServerEntry> inFlight, DatagramSender sender, EventLoopTimer timer, LongSupplier clock) {
		this.self = self;
		this.rates = rates;
		this.keepers = new PermitOwners(self, others);
		this.brittle = new BrittleServices(servers, incarnations);
		this.inFlight = inFlight;
		this.sender = sender;
		this.questions = new SlotQuestions(sender, timer, clock);
		this.timer = timer;
		this.clock = clock;
		this.lastSequence = clock.getAsLong() / 1000;
		this.lastNumber = this.lastSequence;
	}

	@Override
	public void heard(ServerEntry server, OptionalDouble rejections, long sentNanos) {
		this.brittle.heard(server, rejections, sentNanos, this.clock.getAsLong());
	}

	/**
	 * Returns the number of services whose servers are brittle.
	 * @return number of services
	 */
	public int brittleCount() {
		return this.brittle.count();
	}

	@Override
	public boolean anyLimited() {
		return this.brittle.any() || this.rates.anyLimited();
	}

	@Override
	public OptionalDouble limitPerSecond(long server) {
		return this.rates.limitPerSecond(server);
	}

	@Override
	public boolean limited(long server) {
		return this.rates.limited(server) || this.brittle.rejections(server).isPresent();
	}

	@Override
	public long coldNanos(long server) {
		return this.rates.coldNanos(server);
	}

	@Override
	public boolean turnedColdSince(long server, long nanos) {
		return this.rates.turnedColdSince(server, nanos);
	}

	@Override
	public int hosts() {
		return this.rates.hosts();
	}

	@Override
	public long earliestNanos(long server) {
		Use use = this.uses.get(server);
		long full = (use != null && use.full) ? Math.max(0, use.fullUntilNanos - this.clock.getAsLong()) : 0;
		return Math.max(full, this.rates.earliestNanos(server));
	}

	@Override
	public void acquire(long server, long maxWaitNanos, Consumer<PermitDecision> receiver) {
		if (this.brittle.rejections(server).isEmpty()) {
			this.rates.acquire(server, maxWaitNanos, receiver);
			return;
		}
		long now = this.clock.getAsLong();
		boolean mayWait = earliestNanos(server) > 0 && maxWaitNanos > 0;
		long untilNanos = mayWait ? now + maxWaitNanos : now;
		acquireSlot(server, untilNanos, (given) -> {
			if (given && this.rates.limited(server)) {
				this.rates.acquire(server, maxWaitNanos, receiver);
				return;
			}
			receiver.accept(new PermitDecision(given, 0, given ? 0 : TimeUnit.MILLISECONDS.toNanos(WAIT_STEP_MILLIS)));
		});
	}

	// A request that may wait asks again until it gets a slot or its wait is over.
	private void acquireSlot(long server, long untilNanos, Consumer<Boolean> receiver) {
		ask(server, (given) -> {
			long next = this.clock.getAsLong() + TimeUnit.MILLISECONDS.toNanos(WAIT_STEP_MILLIS);
			Use use = use(server);
			use.full = !given;
			use.fullUntilNanos = next;
			if (given || next - untilNanos > 0 || this.waiting >= MAX_WAITING) {
				receiver.accept(given);
				return;
			}
			this.waiting++;
			this.timer.schedule(() -> {
				this.waiting--;
				acquireSlot(server, untilNanos, receiver);
			}, WAIT_STEP_MILLIS);
		});
	}

	private Use use(long server) {
		return this.uses.computeIfAbsent(server, (each) -> new Use());
	}

	private int held(long server) {
		return this.brittle.find(server).map(this.inFlight::applyAsInt).orElse(0);
	}

	private Peer keeper(long server) {
		return this.keepers.owner(new PermitIssuer.Key(server, PermitIssuer.SLICES), this.clock.getAsLong());
	}

	private void ask(long server, Consumer<Boolean> receiver) {
		long number = ++this.lastNumber;
		SlotMessage.Report question = message(server, number);
		Peer keeper = keeper(server);
		if (keeper.equals(this.self)) {
			boolean given = decide(this.self.host(), question);
			use(server).lastDecided = number;
			receiver.accept(given);
		}
		else if (this.questions.silent(keeper)) {
			receiver.accept(mayUseOwnPart(server, question));
		}
		else {
			this.questions.ask(keeper, question, (outcome) -> {
				use(server).lastDecided = Math.max(use(server).lastDecided, number);
				receiver.accept(outcome == SlotQuestions.Outcome.GIVEN
						|| (outcome == SlotQuestions.Outcome.SILENT && mayUseOwnPart(server, question)));
			});
		}
	}

	private SlotMessage.Report message(long server, long number) {
		Use use = use(server);
		int held = held(server);
		use.reportedHeld = held;
		use.reportedDecided = use.lastDecided;
		use.reportedNanos = this.clock.getAsLong();
		this.lastSequence = Math.max(this.lastSequence + 1, use.reportedNanos / 1000);
		int slots = this.brittle.find(server).map(ServerEntry::slots).orElse(1);
		return new SlotMessage.Report(this.self.host(), server,
				new SlotAccount.Report(this.lastSequence, use.lastDecided, held, use.turnedAway), number,
				new SlotAccount.Server(slots, this.brittle.rejections(server).orElse(0)));
	}

	private void send(Peer to, SlotMessage message) {
		this.sender.send(to.address(), SlotFormat.write(message));
	}

	// Without the keeper, as many hosts as the server has slots may have one request each
	// there; they are drawn by rendezvous hashing, so that all hosts agree on them. With
	// fewer hosts than slots each has its part.
	private boolean mayUseOwnPart(long server, SlotMessage.Report question) {
		if (this.clock.getAsLong() - use(server).turnedAwayNanos < SlotAccount.WINDOW_NANOS
				&& use(server).turnedAway > 0) {
			return false;
		}
		int slots = question.said().slots();
		int held = held(server);
		long own = weight(server, this.self.host());
		long before = this.keepers.hosts(this.clock.getAsLong())
			.stream()
			.filter((host) -> weight(server, host.host()) < own)
			.count();
		return before < slots && held < Math.max(1, slots / Math.max(1, hosts()));
	}

	private static long weight(long server, String host) {
		return Hashing.wyhashFinal4().hashStream().putString(host).putLong(server).getAsLong();
	}

	private boolean decide(String host, SlotMessage.Report question) {
		long now = this.clock.getAsLong();
		SlotAccount account = this.accounts.computeIfAbsent(question.server(), (each) -> new SlotAccount());
		account.report(host, question.report(), now);
		return question.number() != SlotMessage.Report.NO_QUESTION
				&& account.give(host, question.number(), question.said(), now);
	}

	@Override
	public void ended(long server) {
		if (this.brittle.rejections(server).isPresent()) {
			report(server);
		}
	}

	@Override
	public void turnedAway(long server) {
		if (this.brittle.rejections(server).isPresent()) {
			Use use = use(server);
			use.turnedAway++;
			use.turnedAwayNanos = this.clock.getAsLong();
			report(server);
		}
	}

	private void report(long server) {
		Peer keeper = keeper(server);
		SlotMessage.Report message = message(server, SlotMessage.Report.NO_QUESTION);
		if (keeper.equals(this.self)) {
			decide(this.self.host(), message);
		}
		else {
			send(keeper, message);
		}
	}

	/**
	 * Reports again what this host has at brittle servers, as reports may be lost, and
	 * forgets what is no longer needed. Called every {@link #ROUND_MILLIS}.
	 */
	public void runRound() {
		long now = this.clock.getAsLong();
		this.brittle.refresh();
		this.uses.entrySet().removeIf((entry) -> this.brittle.rejections(entry.getKey()).isEmpty());
		this.accounts.values().removeIf((account) -> !account.inUseByAny(now));
		this.uses.keySet().stream().filter((server) -> dueForReport(server, now)).toList().forEach(this::report);
	}

	private boolean dueForReport(long server, long now) {
		Use use = this.uses.get(server);
		int held = held(server);
		boolean again = held > 0 && now - use.reportedNanos > TimeUnit.MILLISECONDS.toNanos(2 * ROUND_MILLIS);
		return held != use.reportedHeld || use.lastDecided != use.reportedDecided || again;
	}

	/**
	 * Returns whether a datagram is about slots.
	 * @param datagram the payload
	 * @return whether {@link #onDatagram(InetAddress, byte[])} must process it
	 */
	public static boolean isSlotDatagram(byte[] datagram) {
		return datagram.length > 0 && datagram[0] == SlotFormat.VERSION;
	}

	/**
	 * Processes a datagram. Datagrams whose source address is not that of the named host
	 * are dropped.
	 * @param from source address
	 * @param datagram the payload
	 */
	public void onDatagram(InetAddress from, byte[] datagram) {
		try {
			SlotMessage message = SlotFormat.read(datagram);
			Peer peer = this.keepers.host(message.sender(), this.clock.getAsLong());
			if (peer == null || !peer.address().getAddress().equals(from)) {
				logger.debug("dropped a datagram from {}: not the address of the host that it names", from);
				return;
			}
			this.questions.heardFrom(peer);
			process(peer, message);
		}
		catch (IOException ex) {
			logger.debug("dropped a malformed datagram from {}", from, ex);
		}
	}

	private void process(Peer from, SlotMessage message) {
		if (message instanceof SlotMessage.Report report) {
			boolean given = keeper(report.server()).equals(this.self) && decide(from.host(), report);
			if (report.number() != SlotMessage.Report.NO_QUESTION) {
				send(from, new SlotMessage.Answer(this.self.host(), report.number(), given));
			}
			return;
		}
		this.questions.answered((SlotMessage.Answer) message);
	}

	/** This host's requests at one server. */
	private static final class Use {

		private long lastDecided;

		private long turnedAway;

		private long turnedAwayNanos;

		private int reportedHeld;

		private long reportedDecided;

		private long reportedNanos;

		private boolean full;

		private long fullUntilNanos;

	}

}
