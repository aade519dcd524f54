package io.sequoialink.gateway.path;

import java.io.IOException;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
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
 * Witnesses are asked at the same time, since a crash counts for little until it is
 * proven: with one that does not answer, the other decides.
 */
final class ServerProbe {

	/** Number of hosts that are asked whether a server has ended. */
	private static final int MAX_WITNESSES = 2;

	private final ServerConnector connector;

	private final HelpingHosts hosts;

	private final OwnPathCheck ownPathCheck;

	private final Map<Incarnation, List<Consumer<Optional<Throwable>>>> running = new HashMap<>();

	ServerProbe(ServerConnector connector, HelpingHosts hosts, OwnPathCheck ownPathCheck) {
		this.connector = connector;
		this.hosts = hosts;
		this.ownPathCheck = ownPathCheck;
	}

	/**
	 * Checks a server. Checks of the same server at the same time share their outcome.
	 * @param server the server
	 * @param callback receives the connection error, or empty if a connection was made
	 */
	void check(ServerEntry server, Consumer<Optional<Throwable>> callback) {
		Incarnation incarnation = new Incarnation(server.id(), server.startMillis());
		List<Consumer<Optional<Throwable>>> waiting = this.running.get(incarnation);
		if (waiting != null) {
			waiting.add(callback);
			return;
		}
		this.running.put(incarnation, new ArrayList<>(List.of(callback)));
		begin(server, (outcome) -> this.running.remove(incarnation).forEach((each) -> each.accept(outcome)));
	}

	private void begin(ServerEntry server, Consumer<Optional<Throwable>> callback) {
		if (this.connector.paths().silent(server.service()) && this.hosts.of(server.service()).anyUsable()) {
			askWitnesses(server, callback, () -> checkAlone(server, callback));
			return;
		}
		checkDirectly(server, callback,
				(refusal) -> askWitnesses(server, callback, () -> concludeAlone(server, refusal, callback)));
	}

	private void askWitnesses(ServerEntry server, Consumer<Optional<Throwable>> callback, Runnable noneCanTell) {
		List<Peer> witnesses = drawWitnesses(server);
		if (witnesses.isEmpty()) {
			noneCanTell.run();
			return;
		}
		Inquiry inquiry = new Inquiry(witnesses.size(), callback, noneCanTell);
		for (Peer witness : witnesses) {
			this.connector.checkThroughHost(witness, server, (answer) -> inquiry.answered(witness, answer));
		}
	}

	// The path may be suspected wrongly, because one server did not answer.
	private void checkAlone(ServerEntry server, Consumer<Optional<Throwable>> callback) {
		checkDirectly(server, callback, (refusal) -> concludeAlone(server, refusal, callback));
	}

	private void checkDirectly(ServerEntry server, Consumer<Optional<Throwable>> callback,
			Consumer<Throwable> ifRefused) {
		this.connector.checkDirectly(server, (cause) -> {
			if (cause.filter(ServerConnector::refused).isPresent()) {
				ifRefused.accept(cause.get());
			}
			else {
				callback.accept(cause);
			}
		});
	}

	private List<Peer> drawWitnesses(ServerEntry server) {
		List<Peer> drawn = new ArrayList<>();
		Set<String> names = new HashSet<>();
		Optional<Peer> next = this.hosts.of(server.service()).chooseWitness(names);
		while (next.isPresent() && drawn.size() < MAX_WITNESSES) {
			drawn.add(next.get());
			names.add(next.get().host());
			next = this.hosts.of(server.service()).chooseWitness(names);
		}
		return drawn;
	}

	// Without any other host there is nobody who could be reached instead. Servers of
	// other
	// services decide too: all of one service may have ended, and then no host connects.
	private void concludeAlone(ServerEntry server, Throwable refusal, Consumer<Optional<Throwable>> callback) {
		if (!this.hosts.anyKnown()) {
			callback.accept(Optional.of(refusal));
			return;
		}
		this.ownPathCheck.checkAllServices(server,
				(whole) -> callback.accept(Optional.of(whole ? refusal : new IOException("no host can tell"))));
	}

	/** A server process. Immutable. */
	private record Incarnation(String id, long startMillis) {
	}

	/** Questions to witnesses; the first that can tell decides. */
	private static final class Inquiry {

		private final Consumer<Optional<Throwable>> callback;

		private final Runnable noneCanTell;

		private int open;

		private boolean decided;

		Inquiry(int open, Consumer<Optional<Throwable>> callback, Runnable noneCanTell) {
			this.open = open;
			this.callback = callback;
			this.noneCanTell = noneCanTell;
		}

		void answered(Peer witness, TunnelAnswer answer) {
			this.open--;
			switch (answer) {
				case CONNECTED -> decide(() -> this.callback.accept(Optional.empty()));
				case REFUSED -> decide(() -> this.callback
					.accept(Optional.of(new ConnectException("refused, also to host " + witness.host()))));
				default -> {
					if (this.open == 0) {
						decide(this.noneCanTell);
					}
				}
			}
		}

		private void decide(Runnable decision) {
			if (!this.decided) {
				this.decided = true;
				decision.run();
			}
		}

	}

}
