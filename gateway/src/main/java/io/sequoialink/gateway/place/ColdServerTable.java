package io.sequoialink.gateway.place;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;

import io.sequoialink.decision.limits.ColdServers;
import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.feed.ColdStartListener;
import io.sequoialink.gateway.fleet.BackendService;
import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.fleet.ServerEntry;
import io.sequoialink.gateway.fleet.StorePosition;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records in {@link ColdServers} what registrations and responses say of cold servers,
 * with the limit of their service. Confined to the event loop.
 *
 * <p>
 * Invariant: of the registrations of an incarnation only those count that stand behind
 * all before in the store, so one that is read again prolongs nothing.
 */
public final class ColdServerTable implements ColdStartListener {

	private static final Logger logger = LoggerFactory.getLogger(ColdServerTable.class);

	private static final int MAX_SERVERS = 4096;

	private final ColdServers cold;

	private final FleetView view;

	private final LongSupplier clock;

	private final Map<Long, StorePosition> read = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, StorePosition> eldest) {
			return size() > MAX_SERVERS;
		}
	};

	/**
	 * Creates a table.
	 * @param cold the cold servers
	 * @param view contains the configuration and the registrations of the servers
	 * @param clock monotonic time in nanoseconds
	 */
	public ColdServerTable(ColdServers cold, FleetView view, LongSupplier clock) {
		this.cold = cold;
		this.view = view;
		this.clock = clock;
	}

	@Override
	public void registered(ServerEntry entry, StorePosition position) {
		long server = ServerState.incarnation(entry);
		StorePosition before = this.read.get(server);
		if (before != null && position.compareTo(before) <= 0) {
			return;
		}
		this.read.put(server, position);
		long left = TimeUnit.MILLISECONDS.toNanos(entry.warmupMillis());
		double perSecond = perSecond(entry);
		if (this.cold.registered(server, perSecond, left, this.clock.getAsLong())) {
			log(entry, entry.warmupMillis(), perSecond, "its registration");
		}
	}

	@Override
	public void configured() {
		long now = this.clock.getAsLong();
		for (ServerEntry entry : this.view.servers()) {
			double perSecond = perSecond(entry);
			long server = ServerState.incarnation(entry);
			if (this.cold.limit(server, perSecond, now)) {
				long left = this.cold.find(server, now).orElseThrow().leftNanos();
				log(entry, TimeUnit.NANOSECONDS.toMillis(left), perSecond, "the configuration");
			}
		}
	}

	/**
	 * Records what a response says.
	 * @param server the server that sent it
	 * @param coldMillis how long it stays cold, in milliseconds
	 * @param request identifier of the request, for the log
	 * @param sentNanos monotonic time at which the request was sent, in nanoseconds
	 * @param receivedNanos monotonic time at which the head of the response arrived, in
	 * nanoseconds
	 */
	public void received(ServerState server, long coldMillis, String request, long sentNanos, long receivedNanos) {
		double perSecond = perSecond(server.entry());
		if (this.cold.responded(server.incarnation(), perSecond, TimeUnit.MILLISECONDS.toNanos(coldMillis), sentNanos,
				receivedNanos)) {
			log(server.entry(), coldMillis, perSecond, "its response to request " + request);
		}
	}

	private double perSecond(ServerEntry entry) {
		return this.view.configuration()
			.flatMap((configuration) -> configuration.service(entry.service()))
			.map(BackendService::coldPerSecond)
			.filter((perSecond) -> perSecond > 0)
			.orElse(ColdServers.UNLIMITED);
	}

	private static void log(ServerEntry entry, long millis, double perSecond, String source) {
		logger.info(GatewayEvents.SERVER_COLD, entry.id(), millis, perSecond, source);
	}

	/**
	 * Forgets and logs the servers that are warm by now. Called regularly.
	 * @param serverNames returns the name of a server incarnation, given its hash
	 */
	public void removeExpired(LongFunction<String> serverNames) {
		this.cold.removeExpired(this.clock.getAsLong())
			.forEach((server) -> logger.info(GatewayEvents.SERVER_WARM, serverNames.apply(server)));
	}

	/**
	 * Returns the number of cold servers that take a limited number of requests.
	 * @return number of servers
	 */
	public int count() {
		return this.cold.count(this.clock.getAsLong());
	}

}
