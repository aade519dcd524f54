package io.sequoialink.gateway.http;

import java.util.Optional;

import io.sequoialink.gateway.fleet.Route;
import io.sequoialink.gateway.place.PromptSize;
import io.sequoialink.gateway.place.ServerState;
import io.sequoialink.gateway.place.SpeedMeasurement;

/**
 * Compares the latencies of a request's attempts with the usual ones, and passes the
 * results to the roll-out evaluation, which compares the new version's answers with those
 * of the old versions. Confined to the event loop.
 */
final class AttemptLatencies {

	/**
	 * Number of prompt tokens below which the time is not compared, since other delays
	 * make up most of it.
	 */
	private static final int MIN_TOKENS = 400;

	private static final double TOKENS_UNIT = 1000;

	private final GatewayContext gateway;

	private final SpeedMeasurement speeds;

	private final Route route;

	private final String service;

	AttemptLatencies(GatewayContext gateway, Admission admission) {
		this.gateway = gateway;
		this.speeds = new SpeedMeasurement(gateway.latencyBaseline());
		this.route = admission.route();
		this.service = admission.service();
	}

	/**
	 * Returns the latency check of an attempt, which reports its result to the roll-out
	 * evaluation.
	 * @param server server of the attempt
	 * @param work size of the request's prompt
	 * @return the latency check
	 */
	LatencyCheck check(ServerState server, PromptSize work) {
		return new LatencyCheck(this.gateway.latencyBaseline(), baselineKeys(work), () -> isRolloutTarget(server),
				(bad) -> recordRolloutResult(server, bad));
	}

	/**
	 * Returns the keys of the baselines (usual durations) that an attempt is compared
	 * with: by service and model for model servers, by route for plain services.
	 * @param work size of the request's prompt
	 * @return the keys
	 */
	LatencyCheck.BaselineKeys baselineKeys(PromptSize work) {
		String whole = work.inference() ? this.service + '/' + work.model() : this.route.name();
		return new LatencyCheck.BaselineKeys(whole, this.route.name() + " beginning", this.route.streaming());
	}

	/**
	 * Compares the time to the head of a successful response with that of the same work
	 * at servers of the same version, if the server has slowdown reports and no queue.
	 * The first prompt with a prefix is compared, the next ones may find it in the
	 * engine's cache.
	 * @param server server of the attempt
	 * @param work size of the request's prompt
	 * @param serverWasIdle whether no prompt of this host was pending at the server
	 * @param load load report of the response
	 * @param millis time to the head, in milliseconds
	 */
	void headReceived(ServerState server, PromptSize work, boolean serverWasIdle, Optional<ServerLoad> load,
			double millis) {
		boolean queued = load.filter((reported) -> reported.waiting() == 0).isEmpty();
		if (queued || !this.gateway.servers().reportsSlowdown(this.service)) {
			return;
		}
		int tokens = work.prefixTokens() + work.remainingTokens();
		boolean comparable = !work.inference() || (serverWasIdle && tokens >= MIN_TOKENS
				&& !server.likelyCached(work.prefixHash(), Long.MIN_VALUE / 2));
		if (comparable) {
			this.speeds.measured(server, baselineKeys(work).duration(), work.inference() ? tokens / TOKENS_UNIT : 1,
					millis, this.gateway.clock().getAsLong());
		}
	}

	private void recordRolloutResult(ServerState server, boolean bad) {
		this.gateway.rollouts()
			.recordAnswer(this.service, server.entry().version(), this.route.name(), bad, this.route.streaming());
	}

	private boolean isRolloutTarget(ServerState server) {
		return server.entry().version().equals(this.gateway.rollouts().targetVersion(this.service));
	}

}
