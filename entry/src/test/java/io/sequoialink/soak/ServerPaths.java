package io.sequoialink.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The paths of one host to all backend servers: a proxy of the host's own in front of
 * each server, so that the paths of this host can be cut while other hosts reach the
 * servers. Thread-safe.
 */
public final class ServerPaths implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(ServerPaths.class);

	private final InetAddress local;

	private final Map<InetSocketAddress, LinkProxy> links = new HashMap<>();

	private Cut cut = Cut.NONE;

	/**
	 * Creates paths that are not cut.
	 * @param local loopback address on which the proxies listen
	 */
	public ServerPaths(InetAddress local) {
		this.local = local;
	}

	/**
	 * Takes no new connections to a server that ends, while the open ones are left.
	 * @param server registered address of the server
	 * @throws IOException if the proxy cannot stop listening
	 */
	public synchronized void refuse(InetSocketAddress server) throws IOException {
		LinkProxy link = this.links.get(server);
		if (link != null) {
			link.setNewConnections(LinkProxy.NewConnections.REFUSED);
		}
	}

	/**
	 * Removes the path to a server that has ended.
	 * @param server registered address of the server
	 * @throws IOException if the proxy cannot be closed
	 */
	public synchronized void remove(InetSocketAddress server) throws IOException {
		LinkProxy link = this.links.remove(server);
		if (link != null) {
			link.close();
		}
	}

	/**
	 * Returns the address by which the host reaches a server, which has the port of the
	 * server.
	 * @param server registered address of the server
	 * @return address of the proxy in front of it
	 */
	public synchronized InetSocketAddress address(InetSocketAddress server) {
		return this.links.computeIfAbsent(server, this::open).address();
	}

	private LinkProxy open(InetSocketAddress server) {
		try {
			LinkProxy link = new LinkProxy(server, new InetSocketAddress(this.local, server.getPort()));
			apply(link, this.cut);
			return link;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Cuts all paths, or lets them pass again. A path whose proxy cannot listen again, as
	 * the port of a server that has ended may be another's by now, stays cut; the others
	 * pass.
	 * @param newCut how they are cut from now on
	 */
	public synchronized void setCut(Cut newCut) {
		this.cut = newCut;
		this.links.forEach((server, link) -> {
			try {
				apply(link, newCut);
			}
			catch (IOException ex) {
				logger.error("the path to {} could not be set to {}", server, newCut, ex);
			}
		});
	}

	private static void apply(LinkProxy link, Cut cut) throws IOException {
		link.setMode(cut.open);
		link.setNewConnections(cut.taking);
	}

	@Override
	public synchronized void close() throws IOException {
		for (LinkProxy link : this.links.values()) {
			link.close();
		}
	}

	/** How the paths are cut. */
	public enum Cut {

		/** Not at all. */
		NONE(LinkProxy.Mode.PASS, LinkProxy.NewConnections.TAKEN),

		/** Open connections fall silent, connects hang. */
		SILENT(LinkProxy.Mode.DROP, LinkProxy.NewConnections.SILENT),

		/** Open connections are reset, connects refused. */
		RESET(LinkProxy.Mode.RESET, LinkProxy.NewConnections.REFUSED),

		/** Open connections live on, connects are refused. */
		NEW_REFUSED(LinkProxy.Mode.PASS, LinkProxy.NewConnections.REFUSED),

		/** Open connections live on, connects hang. */
		NEW_SILENT(LinkProxy.Mode.PASS, LinkProxy.NewConnections.SILENT);

		private final LinkProxy.Mode open;

		private final LinkProxy.NewConnections taking;

		Cut(LinkProxy.Mode open, LinkProxy.NewConnections taking) {
			this.open = open;
			this.taking = taking;
		}

	}

}
