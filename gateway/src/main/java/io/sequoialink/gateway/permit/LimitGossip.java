package io.sequoialink.gateway.permit;

import java.io.IOException;
import java.net.InetAddress;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;

import io.sequoialink.decision.limits.LimitObservation;
import io.sequoialink.decision.limits.ServerLimits;
import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.relay.DatagramSender;
import io.sequoialink.gateway.relay.GossipBudget;
import io.sequoialink.gateway.relay.GossipTargets;
import io.sequoialink.gateway.relay.Peer;
import io.sequoialink.gateway.relay.SuspensionDetector;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells other hosts of the limits that servers named, and passes the datagrams about
 * limits on. Confined to the event loop.
 *
 * <p>
 * In each round with changes, a few hosts drawn at random get one datagram each, so what
 * a host sends does not grow with the fleet. A host that has started or was suspended
 * asks as many for all limits in force.
 */
public final class LimitGossip {

	/** Time between two rounds, in milliseconds. */
	public static final long ROUND_MILLIS = 100;

	private static final Logger logger = LoggerFactory.getLogger(LimitGossip.class);

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final String self;

	private final ServerLimits limits;

	private final FleetPermits permits;

	private final GossipTargets targets;

	private final GossipBudget budget;

	private final DatagramSender sender;

	private final LongFunction<String> serverNames;

	private final LongSupplier clock;

	private final SuspensionDetector suspension;

	private boolean queryPending = true;

	/**
	 * Creates a gossip sender and receiver.
	 * @param self name of this host
	 * @param limits limits of the servers
	 * @param permits takes part in the exchange of permits
	 * @param targets draws the receiving hosts
	 * @param budget limits the bytes that are sent
	 * @param sender sends datagrams
	 * @param serverNames returns the name of a server incarnation for log lines, given
	 * its hash
	 * @param clock monotonic time in nanoseconds
	 * @param timeOfDay time of day as Unix time in milliseconds
	 */
	public LimitGossip(String self, ServerLimits limits, FleetPermits permits, GossipTargets targets,
			GossipBudget budget, DatagramSender sender, LongFunction<String> serverNames, LongSupplier clock,
			LongSupplier timeOfDay) {
		this.self = self;
		this.limits = limits;
		this.permits = permits;
		this.targets = targets;
		this.budget = budget;
		this.sender = sender;
		this.serverNames = serverNames;
		this.clock = clock;
		this.suspension = new SuspensionDetector(clock, timeOfDay);
	}

	/**
	 * Sends changes to a few hosts. Called every {@link #ROUND_MILLIS}.
	 */
	public void runRound() {
		long suspendedNanos = this.suspension.check();
		if (suspendedNanos > 0) {
			this.limits.age(suspendedNanos);
			this.queryPending = true;
		}
		if (this.queryPending) {
			this.queryPending = !sendToDrawn(new PermitMessage.Query(this.self));
		}
		if (!this.limits.hasNews() || !this.budget.allowsRound()) {
			return;
		}
		Map<Long, LimitObservation> news = this.limits.selectForGossip(PermitFormat.MAX_SERVERS,
				this.clock.getAsLong());
		if (!news.isEmpty()) {
			sendToDrawn(new PermitMessage.Limits(this.self, news));
		}
	}

	private boolean sendToDrawn(PermitMessage message) {
		byte[] datagram = PermitFormat.write(message, this.clock.getAsLong());
		Set<Peer> drawn = this.targets.draw();
		drawn.forEach((peer) -> {
			this.budget.spend(datagram.length);
			this.sender.send(peer.address(), datagram);
		});
		return !drawn.isEmpty();
	}

	/**
	 * Processes a datagram. Datagrams whose source address is not that of the named host
	 * are dropped.
	 * @param from source address
	 * @param datagram the payload
	 */
	public void onDatagram(InetAddress from, byte[] datagram) {
		try {
			PermitMessage message = PermitFormat.read(datagram, this.clock.getAsLong());
			Peer peer = this.permits.findHost(message.sender());
			if (peer == null || !peer.address().getAddress().equals(from)) {
				logger.debug("dropped a datagram from {}: not the address of the host that it names", from);
				return;
			}
			this.permits.heard(peer);
			process(peer, message);
		}
		catch (IOException ex) {
			logger.debug("dropped a malformed datagram from {}", from, ex);
		}
	}

	private void process(Peer peer, PermitMessage message) {
		if (message instanceof PermitMessage.Ask ask) {
			if (ask.limit().limited() || ask.cold().isEmpty()) {
				merge(peer, ask.server(), ask.limit());
			}
			this.permits.answer(peer, ask);
		}
		else if (message instanceof PermitMessage.Answer answer) {
			this.permits.answered(answer);
		}
		else if (message instanceof PermitMessage.Limits told) {
			told.limits().forEach((server, limit) -> merge(peer, server, limit));
		}
		else {
			sendLimitsInForce(peer);
		}
	}

	private void merge(Peer peer, long server, LimitObservation received) {
		long now = this.clock.getAsLong();
		Optional<LimitObservation> changed = this.limits.mergeFromPeer(server, received, now);
		changed.ifPresent((limit) -> logger.info(GatewayEvents.SERVER_LIMIT_REPORTED, this.serverNames.apply(server),
				limit.limited() ? limit.perSecond() : "any number of", peer.host(),
				(now - limit.atNanos()) / NANOS_PER_MILLI, this.permits.ownedSlices(server), this.permits.hosts()));
	}

	private void sendLimitsInForce(Peer peer) {
		Map<Long, LimitObservation> inForce = this.limits.limitsInForce(PermitFormat.MAX_SERVERS);
		if (!inForce.isEmpty()) {
			this.sender.send(peer.address(),
					PermitFormat.write(new PermitMessage.Limits(this.self, inForce), this.clock.getAsLong()));
		}
	}

	/**
	 * Returns whether a datagram is about limits.
	 * @param datagram the payload
	 * @return whether {@link #onDatagram(InetAddress, byte[])} must process it
	 */
	public static boolean isLimitDatagram(byte[] datagram) {
		return datagram.length > 0 && datagram[0] == PermitFormat.VERSION;
	}

}
