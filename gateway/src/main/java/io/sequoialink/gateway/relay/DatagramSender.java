package io.sequoialink.gateway.relay;

import java.net.InetSocketAddress;

/** Sends datagrams to other hosts. Called on the event loop; does not block. */
@FunctionalInterface
public interface DatagramSender {

	/**
	 * Sends a datagram. Delivery is not guaranteed.
	 * @param to address of the receiver
	 * @param datagram the payload
	 */
	void send(InetSocketAddress to, byte[] datagram);

}
