package io.sequoialink.gateway.place;

import io.sequoialink.decision.limits.LimitObservation;
import io.sequoialink.decision.limits.NamedLimit;
import io.sequoialink.decision.limits.ServerLimits;
import io.sequoialink.gateway.GatewayEvents;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records in {@link ServerLimits} what servers' responses to this host say of the
 * requests that they take from all hosts together. Confined to the event loop.
 */
public final class ServerLimitTable {

	private static final Logger logger = LoggerFactory.getLogger(ServerLimitTable.class);

	private final ServerLimits limits;

	/**
	 * Creates a table.
	 * @param limits what all hosts know of limits
	 */
	public ServerLimitTable(ServerLimits limits) {
		this.limits = limits;
	}

	/**
	 * Records what a response names.
	 * @param server the server that sent it
	 * @param named what it names
	 * @param request identifier of the request, for the log
	 * @param sentNanos monotonic time at which the request was sent, in nanoseconds
	 * @param receivedNanos monotonic time at which the head of the response arrived, in
	 * nanoseconds
	 */
	public void received(ServerState server, NamedLimit named, String request, long sentNanos, long receivedNanos) {
		String before = describe(server);
		this.limits.observe(server.incarnation(), named, sentNanos, receivedNanos)
			.ifPresent((changed) -> logger.info(GatewayEvents.SERVER_LIMIT, server.entry().id(),
					server.entry().service(), describe(changed.perSecond()), request, before));
	}

	private String describe(ServerState server) {
		return this.limits.find(server.incarnation())
			.map((known) -> describe(known.perSecond()))
			.orElseGet(() -> describe(LimitObservation.UNLIMITED));
	}

	private static String describe(double perSecond) {
		return (perSecond != LimitObservation.UNLIMITED) ? String.valueOf(perSecond) : "none";
	}

}
