package io.sequoialink.gateway.path;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.fleet.ServerEntry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * What this host believes about its direct network paths to the servers of each service.
 * Confined to the event loop.
 *
 * <p>
 * Only the outcomes of opening connections count: responses on open connections may go on
 * while no new connection can be made. A path that is suspected need not be broken, since
 * a few servers may just as well be down. A suspected path that refuses connections costs
 * no time, so each is still tried directly first; on one that is silent, other hosts are
 * asked first. The first direct connection that can be made ends the suspicion.
 */
public final class ServicePaths {

	private static final Logger logger = LoggerFactory.getLogger(ServicePaths.class);

	/**
	 * Number of servers that refused a connection since one was last made from which on
	 * the path is suspected. A single one has probably ended.
	 */
	private static final int REFUSALS_TO_SUSPECT = 2;

	/** Number of servers out of reach from which on the path counts as broken. */
	private static final int FAILURES_TO_CONFIRM = 2;

	/** Failures that are older no longer count unless the path is suspected already. */
	private static final long FAILURE_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(5);

	/** Time between two attempts to connect directly on a suspected path. */
	static final long CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private final LongSupplier clock;

	private final Map<String, Path> paths = new HashMap<>();

	/**
	 * Creates paths that are believed to be whole.
	 * @param clock monotonic time in nanoseconds
	 */
	public ServicePaths(LongSupplier clock) {
		this.clock = clock;
	}

	/**
	 * Returns whether this host may be cut off from a service's servers.
	 * @param service name of the service
	 * @return whether a server did not answer at all, or several refused, since a direct
	 * connection was last made
	 */
	public boolean suspected(String service) {
		Path path = this.paths.get(service);
		return path != null && path.suspected;
	}

	/**
	 * Returns whether a direct connection to a service's servers would probably hang,
	 * rather than be refused at once.
	 * @param service name of the service
	 * @return whether the path is suspected because a server did not answer
	 */
	public boolean silent(String service) {
		Path path = this.paths.get(service);
		return path != null && path.silent;
	}

	/**
	 * Returns whether a direct connection is known to be hopeless.
	 * @param service name of the service
	 * @return whether several servers are out of reach, and do not refuse at once
	 */
	public boolean broken(String service) {
		Path path = this.paths.get(service);
		return path != null && path.silent && path.failedAt.size() >= FAILURES_TO_CONFIRM;
	}

	/**
	 * Returns the number of services whose path is suspected.
	 * @return number of services
	 */
	public int suspectedCount() {
		return (int) this.paths.values().stream().filter((path) -> path.suspected).count();
	}

	/**
	 * Returns whether the suspected path of a service should be checked now, and counts
	 * the check.
	 * @param service name of the service
	 * @return whether the last direct attempt began long enough ago
	 */
	boolean tryCheck(String service) {
		Path path = this.paths.get(service);
		long now = this.clock.getAsLong();
		if (path == null || (path.checked && now - path.checkedAt < CHECK_INTERVAL_NANOS)) {
			return path == null;
		}
		path.checked = true;
		path.checkedAt = now;
		return true;
	}

	/**
	 * Records that a direct connection to a server was made, which ends a suspicion.
	 * @param server the server
	 * @param startedNanos monotonic time at which connecting began, in nanoseconds
	 */
	void connected(ServerEntry server, long startedNanos) {
		Path path = this.paths.get(server.service());
		if (path == null || (path.suspected && startedNanos - path.suspectedAt < 0)) {
			return;
		}
		this.paths.remove(server.service());
		if (path.suspected) {
			logger.info(GatewayEvents.PATH_WHOLE, server.service(), server.id(),
					TimeUnit.NANOSECONDS.toMillis(this.clock.getAsLong() - path.suspectedAt));
		}
	}

	/**
	 * Records that no direct connection to a server could be made.
	 * @param server the server
	 * @param silent whether it did not answer in time, rather than refuse
	 */
	void failed(ServerEntry server, boolean silent) {
		long now = this.clock.getAsLong();
		Path path = this.paths.computeIfAbsent(server.service(), (service) -> new Path());
		if (!path.suspected) {
			path.failedAt.values().removeIf((at) -> now - at > FAILURE_EXPIRY_NANOS);
		}
		path.failedAt.put(server.id(), now);
		path.silent |= silent;
		if (!path.suspected && (silent || path.failedAt.size() >= REFUSALS_TO_SUSPECT)) {
			path.suspected = true;
			path.suspectedAt = now;
			logger.atLevel(silent ? Level.WARN : Level.INFO)
				.log(GatewayEvents.PATH_SUSPECTED, server.service(), path.failedAt.size(), server.id(),
						silent ? "did not answer" : "refused");
		}
	}

	/** Belief about the direct path to the servers of one service. */
	private static final class Path {

		private final Map<String, Long> failedAt = new HashMap<>();

		private boolean suspected;

		private boolean silent;

		private long suspectedAt;

		private boolean checked;

		private long checkedAt;

	}

}
