package io.sequoialink.gateway.feed;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

import io.sequoialink.gateway.fleet.ServerEntry;

/**
 * Remembers the backend servers that have left, so that an older copy of the store's
 * records does not bring them back. Confined to the event loop.
 */
final class DepartedServers {

	/**
	 * Time for which a departure is remembered, in nanoseconds; a copy of the store is
	 * only some seconds old.
	 */
	private static final long MEMORY_NANOS = 120_000_000_000L;

	/** Number of departures that are remembered; the oldest are dropped first. */
	private static final int MAX_SERVERS = 4096;

	private final LongSupplier clock;

	private final Map<String, Departure> departures = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Departure> eldest) {
			return size() > MAX_SERVERS
					|| DepartedServers.this.clock.getAsLong() - eldest.getValue().atNanos() > MEMORY_NANOS;
		}
	};

	DepartedServers(LongSupplier clock) {
		this.clock = clock;
	}

	void add(ServerEntry entry) {
		this.departures.remove(entry.id());
		this.departures.put(entry.id(), new Departure(entry.startMillis(), this.clock.getAsLong()));
	}

	void remove(String id) {
		this.departures.remove(id);
	}

	/**
	 * Returns whether a registration is that of a process that has left.
	 * @param entry the registration
	 * @return whether the process left of late; a later process with the same identifier
	 * has another start time
	 */
	boolean contains(ServerEntry entry) {
		Departure departure = this.departures.get(entry.id());
		return departure != null && departure.startMillis() == entry.startMillis()
				&& this.clock.getAsLong() - departure.atNanos() <= MEMORY_NANOS;
	}

	private record Departure(long startMillis, long atNanos) {
	}

}
