package io.sequoialink.gateway.crash;

import java.io.IOException;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.sequoialink.decision.crash.CrashEvidence;
import io.sequoialink.decision.crash.CulpritState;
import io.sequoialink.decision.crash.SuspectTraits;
import io.sequoialink.decision.crash.TraitState;
import io.sequoialink.decision.observation.GossipRounds;
import io.sequoialink.gateway.relay.DatagramSender;
import io.sequoialink.gateway.relay.GossipBudget;
import io.sequoialink.gateway.relay.Peer;
import io.sequoialink.gateway.relay.SuspensionDetector;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges news of crashes and of the traits of requests with other hosts. Confined to
 * the event loop.
 *
 * <p>
 * In each round with news, a few hosts drawn at random get them, so what a host sends
 * does not grow with the fleet. While there are culprits, each second a few hosts get all
 * of them, for hosts that have started or were cut off.
 */
public final class TraitGossip {

	/** Time between two rounds, in milliseconds. */
	public static final long ROUND_MILLIS = 100;

	/** Number of rounds after which all culprits are sent again. */
	private static final int ROUNDS_BETWEEN_REPEATS = 10;

	/** Most states in a round; more than a datagram of them takes several rounds. */
	private static final int MAX_STATES_PER_ROUND = 36;

	private static final Logger logger = LoggerFactory.getLogger(TraitGossip.class);

	private final String self;

	private final NewsCollectors collectors;

	private final Supplier<Set<Peer>> targets;

	private final GossipBudget budget;

	private final DatagramSender sender;

	private final LongSupplier clock;

	private final SuspensionDetector suspension;

	private final GossipRounds stateRounds = new GossipRounds();

	private final GossipRounds crashRounds = new GossipRounds();

	private final Map<Set<Long>, Integer> culpritRounds = new LinkedHashMap<>();

	private boolean urgent;

	private int roundsUntilRepeat = ROUNDS_BETWEEN_REPEATS;

	/**
	 * Creates an exchange of news.
	 * @param self this host
	 * @param others the other hosts
	 * @param targets draws the hosts that get the news of a round
	 * @param budget limits the bytes that are sent
	 * @param sender sends datagrams
	 * @param clock monotonic time in nanoseconds
	 * @param timeOfDay time of day as Unix time in milliseconds
	 */
	public TraitGossip(Peer self, Supplier<List<Peer>> others, Supplier<Set<Peer>> targets, GossipBudget budget,
			DatagramSender sender, LongSupplier clock, LongSupplier timeOfDay) {
		this.self = self.host();
		this.collectors = new NewsCollectors(self, others);
		this.targets = targets;
		this.budget = budget;
		this.sender = sender;
		this.clock = clock;
		this.suspension = new SuspensionDetector(clock, timeOfDay);
	}

	long suspendedNanos() {
		return this.suspension.check();
	}

	void stateChanged(long trait) {
		this.stateRounds.changed(trait);
	}

	/**
	 * Marks the news as urgent; the next {@link #sendNow} sends them.
	 */
	void markUrgent() {
		this.urgent = true;
	}

	void crashKnown(long server) {
		this.crashRounds.changed(server);
	}

	void culpritChanged(Set<Long> culprit) {
		this.culpritRounds.put(culprit, GossipRounds.ROUNDS_PER_CHANGE);
		this.urgent = true;
	}

	/**
	 * Returns whether this host is one of the few to which all report, and which write
	 * for all.
	 * @return whether it collects reports
	 */
	boolean isCollector() {
		return this.collectors.includeSelf();
	}

	/**
	 * Sends what this host lost in crashes to the collectors.
	 * @param lost traits by crash
	 */
	void reportCrashes(List<TraitNews.LostTraits> lost) {
		send(this.collectors.others(), new TraitNews(this.self, lost, Map.of(), List.of()));
	}

	/**
	 * Sends urgent news at once to the collectors, without waiting for the next round.
	 * @param evidence crashes that this host knows
	 * @param traits what this host knows of traits
	 * @param labels texts for log lines
	 */
	void sendNow(CrashEvidence evidence, SuspectTraits traits, TraitLabels labels) {
		if (!this.urgent) {
			return;
		}
		this.urgent = false;
		send(this.collectors.others(), news(evidence, traits, labels));
	}

	/**
	 * Sends news to hosts drawn at random.
	 * @param evidence crashes that this host knows
	 * @param traits what this host knows of traits
	 * @param labels texts for log lines
	 */
	void runRound(CrashEvidence evidence, SuspectTraits traits, TraitLabels labels) {
		boolean states = !this.stateRounds.isEmpty() || !this.crashRounds.isEmpty();
		if (!this.culpritRounds.isEmpty() || (states && this.budget.allowsRound())) {
			send(this.targets.get(), news(evidence, traits, labels));
		}
		this.roundsUntilRepeat--;
		if (this.roundsUntilRepeat <= 0) {
			this.roundsUntilRepeat = ROUNDS_BETWEEN_REPEATS;
			repeatCulprits(traits, labels);
		}
	}

	private void repeatCulprits(SuspectTraits traits, TraitLabels labels) {
		Map<Set<Long>, CulpritState> known = traits.culpritStates();
		if (!known.isEmpty()) {
			send(this.targets.get(), new TraitNews(this.self, List.of(), Map.of(), culprits(known, labels)));
		}
	}

	private TraitNews news(CrashEvidence evidence, SuspectTraits traits, TraitLabels labels) {
		Map<Long, TraitState> states = new HashMap<>();
		this.stateRounds.select(MAX_STATES_PER_ROUND)
			.forEach((trait) -> traits.state(trait).ifPresent((state) -> states.put(trait, state)));
		Map<Set<Long>, CulpritState> known = traits.culpritStates();
		Map<Set<Long>, CulpritState> changed = new HashMap<>();
		this.culpritRounds.keySet().forEach((culprit) -> {
			if (known.containsKey(culprit)) {
				changed.put(culprit, known.get(culprit));
			}
		});
		this.culpritRounds.replaceAll((culprit, left) -> left - 1);
		this.culpritRounds.values().removeIf((left) -> left <= 0);
		List<TraitNews.LostTraits> crashes = new ArrayList<>();
		this.crashRounds.select(MAX_STATES_PER_ROUND)
			.forEach((server) -> evidence.crashNanos(server)
				.ifPresent((at) -> crashes.add(new TraitNews.LostTraits(server, at, Map.of(), Map.of()))));
		return new TraitNews(this.self, crashes, states, culprits(changed, labels));
	}

	private static List<TraitNews.Culprit> culprits(Map<Set<Long>, CulpritState> states, TraitLabels labels) {
		List<TraitNews.Culprit> culprits = new ArrayList<>();
		states.forEach((traits, state) -> culprits.add(new TraitNews.Culprit(traits, state, labels.describe(traits))));
		return culprits;
	}

	private void send(Collection<Peer> to, TraitNews news) {
		if (to.isEmpty()) {
			return;
		}
		for (byte[] datagram : TraitNewsFormat.write(news, this.clock.getAsLong())) {
			to.forEach((peer) -> {
				this.budget.spend(datagram.length);
				this.sender.send(peer.address(), datagram);
			});
		}
	}

	/**
	 * Reads a datagram. Datagrams whose source address is not that of the named host are
	 * dropped.
	 * @param from source address
	 * @param datagram the payload
	 * @return the news, empty if they were dropped
	 */
	Optional<TraitNews> read(InetAddress from, byte[] datagram) {
		try {
			TraitNews news = TraitNewsFormat.read(datagram, this.clock.getAsLong());
			Peer peer = this.collectors.find(news.sender());
			if (peer == null || !peer.address().getAddress().equals(from)) {
				logger.debug("dropped a datagram from {}: not the address of the host that it names", from);
				return Optional.empty();
			}
			return Optional.of(news);
		}
		catch (IOException ex) {
			logger.debug("dropped a malformed datagram from {}", from, ex);
			return Optional.empty();
		}
	}

	/**
	 * Returns whether a datagram contains such news.
	 * @param datagram the payload
	 * @return whether {@link TraitCoordinator#onDatagram(InetAddress, byte[])} must
	 * process it
	 */
	public static boolean isTraitDatagram(byte[] datagram) {
		return datagram.length > 0 && datagram[0] == TraitNewsFormat.VERSION;
	}

}
