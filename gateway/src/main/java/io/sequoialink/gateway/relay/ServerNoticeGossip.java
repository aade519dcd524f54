package io.sequoialink.gateway.relay;

import java.io.IOException;
import java.net.InetAddress;
import java.util.Map;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import io.sequoialink.decision.observation.ServerNotice;
import io.sequoialink.decision.observation.SharedServerNotices;
import io.sequoialink.gateway.GatewayEvents;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Gossips the notices of backend servers (shutting down, back-off) that this host
 * received from servers and from other hosts. Confined to the event loop.
 *
 * <p>
 * In each round with new notices, three hosts drawn at random get one datagram each, one
 * of them in this host's availability zone if possible. What a host sends and receives
 * therefore does not grow with the fleet, and a notice reaches all hosts after a number
 * of rounds that grows with the logarithm of their number.
 */
public final class ServerNoticeGossip {

	/** Time between two rounds, in milliseconds. */
	public static final long ROUND_MILLIS = 100;

	private static final Logger logger = LoggerFactory.getLogger(ServerNoticeGossip.class);

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final SharedServerNotices notices;

	private final ReadForwarder peers;

	private final DatagramSender sender;

	private final LongSupplier clock;

	private final GossipTargets targets;

	private final SuspensionDetector suspension;

	private final GossipBudget budget;

	private final LongFunction<String> serverNames;

	/**
	 * Creates a gossip sender and receiver.
	 * @param notices the notices that this host knows
	 * @param peers the other hosts
	 * @param sender sends datagrams
	 * @param budget limits the bytes that are sent
	 * @param serverNames returns the name of a server incarnation for log lines, given
	 * its hash
	 * @param clock monotonic time in nanoseconds
	 * @param timeOfDay time of day as Unix time in milliseconds
	 * @param random draws the receiving hosts
	 */
	public ServerNoticeGossip(SharedServerNotices notices, ReadForwarder peers, DatagramSender sender,
			GossipBudget budget, LongFunction<String> serverNames, LongSupplier clock, LongSupplier timeOfDay,
			RandomGenerator random) {
		this.notices = notices;
		this.peers = peers;
		this.sender = sender;
		this.budget = budget;
		this.serverNames = serverNames;
		this.clock = clock;
		this.targets = new GossipTargets(peers, random);
		this.suspension = new SuspensionDetector(clock, timeOfDay);
	}

	/**
	 * Sends new notices to three hosts, if the byte budget allows it. Called every
	 * {@link #ROUND_MILLIS}.
	 */
	public void runRound() {
		long now = this.clock.getAsLong();
		if (this.suspension.check() > 0) {
			this.notices.clear();
		}
		if (this.notices.isEmpty() || !this.budget.allowsRound()) {
			return;
		}
		Map<Long, ServerNotice> news = this.notices
			.selectForGossip(BatchFormat.MAX_DATAGRAM_BYTES / ServerNoticeFormat.MAX_SERVER_BYTES, now);
		if (!news.isEmpty()) {
			sendToDrawnPeers(ServerNoticeFormat.write(news, now));
		}
	}

	private void sendToDrawnPeers(byte[] datagram) {
		for (Peer peer : this.targets.draw()) {
			this.budget.spend(datagram.length);
			this.sender.send(peer.address(), datagram);
		}
	}

	/**
	 * Processes a datagram. Datagrams from addresses that belong to no known host are
	 * dropped.
	 * @param from source address
	 * @param datagram the payload
	 */
	public void onDatagram(InetAddress from, byte[] datagram) {
		if (!this.peers.isPeerAddress(from)) {
			logger.debug("dropped a datagram from {}: no known host has this address", from);
			return;
		}
		long now = this.clock.getAsLong();
		try {
			ServerNoticeFormat.read(datagram, now).forEach((server, notice) -> applyNotice(from, server, notice, now));
		}
		catch (IOException ex) {
			logger.debug("dropped a malformed datagram from {}", from, ex);
		}
	}

	private void applyNotice(InetAddress from, long server, ServerNotice notice, long now) {
		if (this.notices.mergeFromPeer(server, notice, now)) {
			logger.info(GatewayEvents.SERVER_NOTICE_REPORTED, this.serverNames.apply(server), from.getHostAddress(),
					describeShutdown(notice, now), describeBackOff(notice, now));
		}
	}

	private static String describeShutdown(ServerNotice notice, long now) {
		boolean shuttingDown = notice.shutdownAtNanos() != ServerNotice.NEVER;
		return shuttingDown ? (now - notice.shutdownAtNanos()) / NANOS_PER_MILLI + " ms ago" : "no";
	}

	private static String describeBackOff(ServerNotice notice, long now) {
		boolean backsOff = notice.backoffUntilNanos() != ServerNotice.NEVER;
		return backsOff ? (notice.backoffUntilNanos() - now) / NANOS_PER_MILLI + " ms" : "no";
	}

	/**
	 * Returns whether a datagram contains server notices.
	 * @param datagram the payload
	 * @return whether {@link #onDatagram(InetAddress, byte[])} must process it
	 */
	public static boolean isNoticeDatagram(byte[] datagram) {
		return datagram.length > 0 && datagram[0] == ServerNoticeFormat.VERSION;
	}

}
