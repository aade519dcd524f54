package io.sequoialink.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The backend servers and their entries in the store. Safe for threads.
 */
final class Servers {

	/**
	 * Time after a crash until its entry goes, and another life begins, in milliseconds.
	 */
	private static final int GONE_MILLIS = 1500;

	private final StandinStore store;

	private final Ledger ledger;

	private final Calm calm;

	private final List<BackendStandin> running = new ArrayList<>();

	private int lives;

	Servers(StandinStore store, Ledger ledger, Calm calm) {
		this.store = store;
		this.ledger = ledger;
		this.calm = calm;
	}

	synchronized void add(String service) {
		try {
			this.lives++;
			BackendStandin server = new BackendStandin(this.ledger, this.calm, service, "i-" + this.lives, this.lives);
			this.running.add(server);
			this.store.put("servers", server.name(), server.record(false));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	synchronized BackendStandin pick(Random random) {
		return this.running.get(random.nextInt(this.running.size()));
	}

	private synchronized void remove(BackendStandin server) {
		this.running.remove(server);
	}

	/**
	 * Ends a server without notice and starts another after a while.
	 * @param server the server
	 */
	void crash(BackendStandin server) {
		server.crash();
		replaceEnded(server);
	}

	private void replaceEnded(BackendStandin server) {
		remove(server);
		Daemons.sleep(GONE_MILLIS);
		this.store.put("servers", server.name(), "");
		add(server.service());
	}

	/**
	 * Replaces servers that a request's content has crashed.
	 */
	void tend() {
		List<BackendStandin> ended;
		synchronized (this) {
			ended = this.running.stream().filter(BackendStandin::ended).toList();
			this.running.removeAll(ended);
		}
		ended.forEach((server) -> Daemons.start("replace", () -> replaceEnded(server)));
	}

	/**
	 * Lets a server leave as planned: it serves on for its time and a little longer.
	 * @param server the server
	 */
	void drain(BackendStandin server) {
		add(server.service());
		remove(server);
		this.store.put("servers", server.name(), server.record(true));
		server.drained();
		Daemons.sleep(Bounds.LEAVING_MILLIS + Bounds.TIMEOUT_MILLIS);
		this.calm.disturb(server.name());
		this.store.put("servers", server.name(), "");
		server.close();
	}

	synchronized void close() {
		this.running.forEach(BackendStandin::close);
	}

}
