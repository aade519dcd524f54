package io.sequoialink.gateway.path;

import java.io.IOException;
import java.net.ConnectException;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import io.sequoialink.gateway.fleet.ServerEntry;
import io.sequoialink.gateway.relay.Peer;

/**
 * Checks whether a server refuses all connections, as it does after a crash. Confined to
 * the event loop.
 *
 * <p>
 * A refusal counts only if another host, the witness, is refused too, or if no host can
 * tell and this host's own path is whole: the path may be broken instead of the server.
 */
final class ServerProbe {

	/** Number of hosts that are asked whether a server has ended. */
	private static final int MAX_WITNESSES = 2;

	private final ServerConnector connector;

	private final HelpingHosts hosts;

	private final OwnPathCheck ownPathCheck;

	ServerProbe(ServerConnector connector, HelpingHosts hosts, OwnPathCheck ownPathCheck) {
		this.connector = connector;
		this.hosts = hosts;
		this.ownPathCheck = ownPathCheck;
	}

	/**
	 * Checks a server.
	 * @param server the server
	 * @param callback receives the connection error, or empty if a connection was made
	 */
	void check(ServerEntry server, Consumer<Optional<Throwable>> callback) {
		if (this.connector.paths().silent(server.service()) && this.hosts.of(server.service()).anyUsable()) {
			askWitness(server, new IOException("the direct path is suspected"), new HashSet<>(), callback);
			return;
		}
		this.connector.checkDirectly(server, (cause) -> {
			if (cause.filter(ServerConnector::refused).isPresent()) {
				askWitness(server, cause.get(), new HashSet<>(), callback);
			}
			else {
				callback.accept(cause);
			}
		});
	}

	private void askWitness(ServerEntry server, Throwable result, Set<String> asked,
			Consumer<Optional<Throwable>> callback) {
		Optional<Peer> host = (asked.size() < MAX_WITNESSES) ? this.hosts.of(server.service()).chooseAny(asked)
				: Optional.empty();
		if (host.isEmpty()) {
			concludeAlone(server, result, callback);
			return;
		}
		asked.add(host.get().host());
		this.connector.checkThroughHost(host.get(), server, (answer) -> {
			switch (answer) {
				case CONNECTED -> callback.accept(Optional.empty());
				case REFUSED ->
					callback.accept(Optional.of(new ConnectException("refused, also to host " + host.get().host())));
				default -> askWitness(server, result, asked, callback);
			}
		});
	}

	// Without any other host there is nobody who could be reached instead.
	private void concludeAlone(ServerEntry server, Throwable result, Consumer<Optional<Throwable>> callback) {
		if (!ServerConnector.refused(result) || !this.hosts.anyKnown()) {
			callback.accept(Optional.of(result));
			return;
		}
		this.ownPathCheck.check(server,
				(whole) -> callback.accept(Optional.of(whole ? result : new IOException("no host can tell"))));
	}

}
