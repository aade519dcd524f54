package io.sequoialink.gateway.relay;

import java.net.InetSocketAddress;

/**
 * Sends datagrams to other hosts. Called on the event loop; never blocks.
 */
@FunctionalInterface
public interface PeerSender {

	/**
	 * Sends a datagram, which may be lost.
	 * @param to the host
	 * @param datagram its bytes
	 */
	void send(InetSocketAddress to, byte[] datagram);

}
