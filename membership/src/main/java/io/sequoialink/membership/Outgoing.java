package io.sequoialink.membership;

import java.util.Objects;

import io.sequoialink.membership.wire.PeerProtocol.Body;

/**
 * A message that is ready to be sent. Immutable and thread-safe.
 *
 * @param ip numeric address of the receiver
 * @param port peer port of the receiver
 * @param body the message
 */
record Outgoing(String ip, int port, Body body) {

	Outgoing {
		Objects.requireNonNull(ip, "ip");
		Objects.requireNonNull(body, "body");
	}

}
