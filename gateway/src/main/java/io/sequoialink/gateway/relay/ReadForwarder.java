package io.sequoialink.gateway.relay;

import java.io.IOException;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.feed.ForwardedBatch;
import io.sequoialink.gateway.feed.ReadForwarding;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Forwards records between hosts, so that few hosts read the store, and determines which
 * host reads. Confined to the event loop.
 *
 * <p>
 * A host that reads the store itself forwards what it read to the others. A host that
 * receives batches from a host with a lexicographically smaller name stops reading. The
 * host with the smallest name among those that reach the store therefore becomes the
 * reader host, without a consensus protocol. Two hosts that read at the same time only
 * cost additional calls, and a host that receives nothing until the reader timeout reads
 * the store itself again. In a large fleet, hosts forward only to those of their own
 * availability zone.
 */
public final class ReadForwarder implements ReadForwarding, PeerListener {

	/** Maximum number of hosts for which one reader serves all availability zones. */
	static final int MAX_HOSTS_FOR_ONE_READER = 32;

	/**
	 * Time after which an address that was not written again is no longer used, in
	 * nanoseconds.
	 */
	static final long MAX_ADDRESS_AGE_NANOS = 3 * 3_600_000_000_000L;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private static final Logger logger = LoggerFactory.getLogger(ReadForwarder.class);

	private final Peer self;

	private final DatagramSender sender;

	private final Consumer<ForwardedBatch> batchConsumer;

	private final LongSupplier clock;

	private final Map<String, Peer> peers = new HashMap<>();

	private final Map<String, Long> addressWrittenAt = new HashMap<>();

	private long readerTimeoutNanos;

	private Peer reader;

	private long lastBatchAt;

	/**
	 * Creates a forwarder that has not read the address of any other host yet.
	 * @param self this host
	 * @param sender sends datagrams
	 * @param batchConsumer receives the batches that other hosts forward
	 * @param readerTimeoutNanos time without a batch after which the reader counts as
	 * failed, in nanoseconds
	 * @param clock monotonic time in nanoseconds
	 */
	public ReadForwarder(Peer self, DatagramSender sender, Consumer<ForwardedBatch> batchConsumer,
			long readerTimeoutNanos, LongSupplier clock) {
		this.self = self;
		this.sender = sender;
		this.batchConsumer = batchConsumer;
		this.readerTimeoutNanos = readerTimeoutNanos;
		this.clock = clock;
	}

	/**
	 * Changes the time without a batch after which the reader counts as failed.
	 * @param nanos the time, in nanoseconds
	 */
	public void setReaderTimeout(long nanos) {
		this.readerTimeoutNanos = nanos;
	}

	@Override
	public void onPeer(Peer peer, long ageMillis) {
		this.peers.put(peer.host(), peer);
		this.addressWrittenAt.put(peer.host(), this.clock.getAsLong() - ageMillis * NANOS_PER_MILLI);
	}

	@Override
	public void onPeerDeleted(String host) {
		this.peers.remove(host);
		this.addressWrittenAt.remove(host);
	}

	@Override
	public void onPeerLost(String host) {
		if (host.equals(this.self.host())) {
			onPeerDeleted(host);
		}
	}

	/**
	 * Removes the hosts whose address is older than {@link #MAX_ADDRESS_AGE_NANOS}.
	 * @return names of the removed hosts
	 */
	List<String> removeExpired() {
		long oldest = this.clock.getAsLong() - MAX_ADDRESS_AGE_NANOS;
		List<String> expired = new ArrayList<>();
		this.addressWrittenAt.forEach((host, at) -> {
			if (at - oldest < 0) {
				expired.add(host);
			}
		});
		expired.forEach(this::onPeerDeleted);
		return expired;
	}

	/**
	 * Returns whether the store contains this host's current address.
	 * @return whether other hosts can send datagrams to this one
	 */
	boolean isOwnAddressStored() {
		return this.self.equals(this.peers.get(this.self.host()));
	}

	/**
	 * Returns this host.
	 * @return this host and its address
	 */
	public Peer self() {
		return this.self;
	}

	/**
	 * Returns the other hosts whose address is known.
	 * @return all known hosts except this one
	 */
	public List<Peer> otherPeers() {
		return this.peers.values().stream().filter((peer) -> !peer.host().equals(this.self.host())).toList();
	}

	/**
	 * Returns a known host.
	 * @param host name of the host
	 * @return the host, if its address is known
	 */
	Optional<Peer> peer(String host) {
		return Optional.ofNullable(this.peers.get(host));
	}

	/**
	 * Returns whether an IP address belongs to a known host.
	 * @param address the IP address
	 * @return whether a known host receives datagrams there
	 */
	public boolean isPeerAddress(InetAddress address) {
		return this.peers.values().stream().anyMatch((peer) -> peer.address().getAddress().equals(address));
	}

	@Override
	public boolean anotherHostReads() {
		if (this.reader != null && this.clock.getAsLong() - this.lastBatchAt > this.readerTimeoutNanos) {
			logger.info(GatewayEvents.READER_HOST_LOST, this.reader.host());
			this.reader = null;
		}
		return this.reader != null;
	}

	@Override
	public void forward(ForwardedBatch batch) {
		if (anotherHostReads()) {
			return;
		}
		List<byte[]> datagrams = new ArrayList<>();
		for (ForwardedBatch part : BatchFormat.split(batch)) {
			datagrams.add(BatchFormat.write(new BatchMessage(this.self.host(), part)));
		}
		boolean allZones = this.peers.size() <= MAX_HOSTS_FOR_ONE_READER;
		for (Peer peer : this.peers.values()) {
			if (!peer.host().equals(this.self.host()) && (allZones || peer.zone().equals(this.self.zone()))) {
				datagrams.forEach((datagram) -> this.sender.send(peer.address(), datagram));
			}
		}
	}

	/**
	 * Processes a datagram. Datagrams whose source address is not that of the named host
	 * are dropped.
	 * @param from source address
	 * @param datagram the payload
	 */
	public void onDatagram(InetAddress from, byte[] datagram) {
		try {
			BatchMessage message = BatchFormat.read(datagram);
			Peer peer = this.peers.get(message.host());
			if (peer == null || !peer.address().getAddress().equals(from)) {
				logger.debug("dropped a datagram from {}: not the address of the host that it names", from);
				return;
			}
			acceptBatch(peer, message.batch());
		}
		catch (IOException ex) {
			logger.debug("dropped a malformed datagram from {}", from, ex);
		}
	}

	private void acceptBatch(Peer peer, ForwardedBatch batch) {
		if (peer.host().compareTo(this.self.host()) >= 0) {
			return;
		}
		anotherHostReads();
		boolean precedesReader = this.reader == null || peer.host().compareTo(this.reader.host()) <= 0;
		if (!precedesReader) {
			return;
		}
		if (this.reader == null || !this.reader.host().equals(peer.host())) {
			logger.info(GatewayEvents.READER_HOST_FOUND, peer.host(), batch.topic(), batch.next());
		}
		this.reader = peer;
		this.lastBatchAt = this.clock.getAsLong();
		this.batchConsumer.accept(batch);
	}

}
