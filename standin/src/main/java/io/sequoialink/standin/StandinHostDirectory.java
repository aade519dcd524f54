package io.sequoialink.standin;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;

import io.sequoialink.model.BackendServer;
import io.sequoialink.model.ServerId;

/**
 * Simulates the platform's list of backend servers, which callers see with a delay.
 * Thread-safe; the history of the list is guarded by its own monitor.
 */
public final class StandinHostDirectory extends StandinServer {

	private final TreeMap<Long, Map<ServerId, BackendServer>> history = new TreeMap<>();

	private final LongSupplier clockMillis;

	private volatile long lagMillis;

	private volatile boolean unavailable;

	/**
	 * Creates an empty list.
	 * @param clockMillis clock that dates the changes of the list, epoch milliseconds
	 */
	public StandinHostDirectory(LongSupplier clockMillis) {
		this.clockMillis = clockMillis;
		this.history.put(Long.MIN_VALUE, Map.of());
	}

	/**
	 * Sets the age of the list that callers get.
	 * @param millis how many milliseconds the list lags behind its latest change
	 */
	public void setLag(long millis) {
		this.lagMillis = millis;
	}

	/**
	 * Starts or ends an outage, during which every call is rejected.
	 * @param unavailable whether calls are rejected
	 */
	public void setUnavailable(boolean unavailable) {
		this.unavailable = unavailable;
	}

	/**
	 * Adds a server to the list or replaces the entry with its identifier.
	 * @param server the new entry
	 */
	public void put(BackendServer server) {
		update((servers) -> {
			servers.put(server.id(), server);
			return servers;
		});
	}

	/**
	 * Marks a server on the list as shutting down; does nothing if it is not listed.
	 * @param id the identifier of the server
	 */
	public void markShuttingDown(ServerId id) {
		update((servers) -> {
			servers.computeIfPresent(id, (key, old) -> new BackendServer(old.id(), old.kind(), old.ip(), old.port(),
					old.zone(), old.offers(), true));
			return servers;
		});
	}

	/**
	 * Removes a server from the list.
	 * @param id the identifier of the server
	 */
	public void remove(ServerId id) {
		update((servers) -> {
			servers.remove(id);
			return servers;
		});
	}

	@Override
	void handle(Exchange exchange) throws IOException {
		if (this.unavailable) {
			exchange.rejectUnexecuted(503, "outage");
			return;
		}
		synchronized (this.history) {
			exchange.respond(200, Map.of("servers",
					this.history.floorEntry(this.clockMillis.getAsLong() - this.lagMillis).getValue().values()));
		}
	}

	private void update(UnaryOperator<Map<ServerId, BackendServer>> change) {
		synchronized (this.history) {
			this.history.put(this.clockMillis.getAsLong(),
					change.apply(new TreeMap<>(this.history.lastEntry().getValue())));
		}
	}

}
