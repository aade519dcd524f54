package io.sequoialink.gateway.relay;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.function.LongSupplier;

import io.sequoialink.gateway.feed.StartupHold;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Lets a host that starts ask others which version of the configuration they have in
 * force: the store may have returned from an older copy and not yet have it again.
 * Confined to the event loop.
 */
public final class ConfigurationInquiry {

	/** Version of a host that has no configuration in force. */
	public static final long NONE = -1;

	private static final Logger logger = LoggerFactory.getLogger(ConfigurationInquiry.class);

	/** First byte of the datagrams, different from that of all others. */
	private static final byte VERSION = 9;

	private static final byte QUESTION = 0;

	private static final byte ANSWER = 1;

	private static final int PORT_AT = 2 + Long.BYTES;

	private static final int HEAD_BYTES = PORT_AT + Character.BYTES;

	private final ReadForwarder peers;

	private final GossipTargets targets;

	private final DatagramSender sender;

	private final LongSupplier ownVersion;

	private final StartupHold hold;

	/**
	 * Creates an inquiry that has asked nobody.
	 * @param peers the other hosts
	 * @param targets draws the hosts that are asked
	 * @param sender sends datagrams
	 * @param ownVersion version in force on this host, {@link #NONE} if there is none
	 * @param hold is told the versions of others
	 */
	public ConfigurationInquiry(ReadForwarder peers, GossipTargets targets, DatagramSender sender,
			LongSupplier ownVersion, StartupHold hold) {
		this.peers = peers;
		this.targets = targets;
		this.sender = sender;
		this.ownVersion = ownVersion;
		this.hold = hold;
	}

	/**
	 * Asks a few hosts. Called when the addresses of the others have been read.
	 */
	public void ask() {
		Set<Peer> asked = this.targets.draw();
		this.hold.asked(asked.size());
		asked.forEach((peer) -> this.sender.send(peer.address(), write(QUESTION)));
	}

	private byte[] write(byte kind) {
		byte[] host = this.peers.self().host().getBytes(StandardCharsets.UTF_8);
		return ByteBuffer.allocate(HEAD_BYTES + host.length)
			.put(VERSION)
			.put(kind)
			.putLong(this.ownVersion.getAsLong())
			.putChar((char) this.peers.self().address().getPort())
			.put(host)
			.array();
	}

	/**
	 * Returns whether a datagram belongs to an inquiry.
	 * @param datagram the payload
	 * @return whether {@link #onDatagram(InetAddress, byte[])} must process it
	 */
	public static boolean isInquiryDatagram(byte[] datagram) {
		return datagram.length > 0 && datagram[0] == VERSION;
	}

	/**
	 * Answers a question, or takes an answer. A host that asks may be new, so that its
	 * address is not known yet; an answer is dropped if its source address is not that of
	 * the named host.
	 * @param from source address
	 * @param datagram the payload
	 */
	public void onDatagram(InetAddress from, byte[] datagram) {
		if (datagram.length <= HEAD_BYTES) {
			logger.debug("dropped an inquiry from {}: too short", from);
			return;
		}
		ByteBuffer content = ByteBuffer.wrap(datagram);
		if (datagram[1] == QUESTION) {
			this.sender.send(new InetSocketAddress(from, content.getChar(PORT_AT)), write(ANSWER));
		}
		else if (datagram[1] == ANSWER) {
			String host = new String(datagram, HEAD_BYTES, datagram.length - HEAD_BYTES, StandardCharsets.UTF_8);
			acceptAnswer(from, host, content.getLong(2));
		}
	}

	private void acceptAnswer(InetAddress from, String host, long version) {
		boolean known = this.peers.peer(host).filter((peer) -> peer.address().getAddress().equals(from)).isPresent();
		if (!known) {
			logger.debug("dropped an answer from {}: not the address of the host that it names", from);
			return;
		}
		this.hold.heard(host, version);
	}

}
