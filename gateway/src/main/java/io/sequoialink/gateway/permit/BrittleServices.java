package io.sequoialink.gateway.permit;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;

import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.fleet.ServerEntry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The services whose servers say that they are brittle: one that turns away more requests
 * in a second than it names, because it has no room, falls over. Confined to the event
 * loop. All servers of a service say so at once, so a server counts as brittle before
 * this host has had an answer of it, also one that has just started.
 */
final class BrittleServices {

	private static final Logger logger = LoggerFactory.getLogger(BrittleServices.class);

	private final Supplier<Collection<ServerEntry>> servers;

	private final ToLongFunction<ServerEntry> incarnations;

	private final Map<String, Said> services = new HashMap<>();

	private Map<Long, ServerEntry> index = Map.of();

	BrittleServices(Supplier<Collection<ServerEntry>> servers, ToLongFunction<ServerEntry> incarnations) {
		this.servers = servers;
		this.incarnations = incarnations;
	}

	/**
	 * Records what an answer says.
	 * @param server the server that sent it
	 * @param rejections requests that it can turn away in a second; empty if the answer
	 * does not say that the server is brittle
	 * @param sentNanos monotonic time at which the request was sent, in nanoseconds
	 * @param nowNanos monotonic time in nanoseconds
	 */
	void heard(ServerEntry server, OptionalDouble rejections, long sentNanos, long nowNanos) {
		Said before = this.services.get(server.service());
		if (rejections.isPresent()) {
			this.services.put(server.service(), new Said(rejections.getAsDouble(), nowNanos));
			if (before == null || before.rejections != rejections.getAsDouble()) {
				logger.info(GatewayEvents.SERVICE_BRITTLE, server.service(), rejections.getAsDouble(), server.id());
			}
		}
		else if (before != null && sentNanos - before.heardNanos > 0) {
			this.services.remove(server.service());
			logger.info(GatewayEvents.SERVICE_NOT_BRITTLE, server.service(), server.id());
		}
	}

	/**
	 * Looks the registrations up again, as they may have changed.
	 */
	void refresh() {
		this.index = Map.of();
	}

	boolean any() {
		return !this.services.isEmpty();
	}

	int count() {
		return this.services.size();
	}

	/**
	 * Returns how many rejections a server can bear.
	 * @param server hash of the server's incarnation
	 * @return rejections in a second; empty if the server is not known to be brittle
	 */
	OptionalDouble rejections(long server) {
		if (this.services.isEmpty()) {
			return OptionalDouble.empty();
		}
		return find(server).map((entry) -> this.services.get(entry.service()))
			.map((said) -> OptionalDouble.of(said.rejections))
			.orElseGet(OptionalDouble::empty);
	}

	/**
	 * Returns a registered server.
	 * @param server hash of its incarnation
	 * @return its registration
	 */
	Optional<ServerEntry> find(long server) {
		if (!this.index.containsKey(server)) {
			Map<Long, ServerEntry> built = new HashMap<>();
			this.servers.get().forEach((entry) -> built.put(this.incarnations.applyAsLong(entry), entry));
			this.index = built;
		}
		return Optional.ofNullable(this.index.get(server));
	}

	/**
	 * What the servers of a service said last. Immutable.
	 */
	private record Said(double rejections, long heardNanos) {
	}

}
