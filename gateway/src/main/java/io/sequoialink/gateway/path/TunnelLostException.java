package io.sequoialink.gateway.path;

import java.io.IOException;

/**
 * The connection through another host was lost between the two hosts. Nothing is known of
 * the server's connection.
 */
public final class TunnelLostException extends IOException {

	private static final long serialVersionUID = 1L;

	TunnelLostException(String host) {
		super("the connection through host " + host + " was lost");
	}

}
