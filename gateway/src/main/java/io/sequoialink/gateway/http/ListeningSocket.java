package io.sequoialink.gateway.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;

/**
 * Opens the socket on which clients connect, with nothing but the JDK: a host that starts
 * again can do it before anything else is loaded, so that connections wait for the rest
 * of its start instead of being refused. Stateless.
 */
public final class ListeningSocket {

	/** Connections that may wait until the host accepts them. */
	private static final int BACKLOG = 1024;

	private ListeningSocket() {
	}

	/**
	 * Opens a socket that listens.
	 * @param address where to listen
	 * @return the socket
	 * @throws IOException if the address can't be used
	 */
	public static ServerSocketChannel open(InetSocketAddress address) throws IOException {
		ServerSocketChannel socket = ServerSocketChannel.open();
		try {
			socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
			socket.bind(address, BACKLOG);
			return socket;
		}
		catch (IOException ex) {
			socket.close();
			throw ex;
		}
	}

}
