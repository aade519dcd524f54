package io.sequoialink.standin;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;

import io.sequoialink.model.BackendServer;
import io.sequoialink.model.ServerId;

/**
 * The platform's lagging list of backend servers. Thread-safe; the history is guarded by
 * its own monitor.
 */
public final class StandinHostDirectory extends StandinServer {

	private final TreeMap<Long, Map<ServerId, BackendServer>> history = new TreeMap<>();

	private final LongSupplier clockMillis;

	private volatile long lagMillis;

	private volatile boolean unavailable;

	/**
	 * Creates an empty list.
	 * @param clockMillis the clock, epoch milliseconds
	 */
	public StandinHostDirectory(LongSupplier clockMillis) {
		this.clockMillis = clockMillis;
		this.history.put(Long.MIN_VALUE, Map.of());
	}

	/**
	 * Sets how old the shown list is.
	 * @param millis the lag in milliseconds
	 */
	public void lag(long millis) {
		this.lagMillis = millis;
	}

	/**
	 * Switches an outage on or off.
	 * @param refused whether calls are refused
	 */
	public void unavailable(boolean refused) {
		this.unavailable = refused;
	}

	/**
	 * Puts a server on the list, or changes it.
	 * @param server the server
	 */
	public void put(BackendServer server) {
		change((servers) -> {
			servers.put(server.id(), server);
			return servers;
		});
	}

	/**
	 * Marks a server as leaving.
	 * @param id the server
	 */
	public void leave(ServerId id) {
		change((servers) -> {
			servers.computeIfPresent(id, (key, old) -> new BackendServer(old.id(), old.kind(), old.ip(), old.port(),
					old.zone(), old.offers(), true));
			return servers;
		});
	}

	/**
	 * Takes a server off the list.
	 * @param id the server
	 */
	public void remove(ServerId id) {
		change((servers) -> {
			servers.remove(id);
			return servers;
		});
	}

	@Override
	void handle(Exchange exchange) throws IOException {
		if (this.unavailable) {
			exchange.refuse(503, "outage");
			return;
		}
		synchronized (this.history) {
			exchange.answer(200, Map.of("servers",
					this.history.floorEntry(this.clockMillis.getAsLong() - this.lagMillis).getValue().values()));
		}
	}

	private void change(UnaryOperator<Map<ServerId, BackendServer>> change) {
		synchronized (this.history) {
			this.history.put(this.clockMillis.getAsLong(),
					change.apply(new TreeMap<>(this.history.lastEntry().getValue())));
		}
	}

}
