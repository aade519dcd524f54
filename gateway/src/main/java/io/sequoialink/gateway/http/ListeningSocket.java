package io.sequoialink.gateway.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;

/**
 * Opens the listening socket for clients with nothing but the JDK. A restarting host can
 * do this before it loads anything else, so that connections wait in the backlog instead
 * of being refused. Stateless.
 */
public final class ListeningSocket {

	/** Maximum number of connections that wait to be accepted. */
	private static final int BACKLOG = 1024;

	private ListeningSocket() {
	}

	/**
	 * Opens a listening socket.
	 * @param address address to listen on
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
