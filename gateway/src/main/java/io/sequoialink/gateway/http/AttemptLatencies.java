package io.sequoialink.gateway.http;

import io.sequoialink.gateway.fleet.Route;
import io.sequoialink.gateway.place.PromptSize;
import io.sequoialink.gateway.place.ServerState;

/**
 * Compares the latencies of a request's attempts with the usual ones, and passes the
 * results to the roll-out evaluation, which compares the new version's answers with those
 * of the old versions. Confined to the event loop.
 */
final class AttemptLatencies {

	private final GatewayContext gateway;

	private final Route route;

	private final String service;

	AttemptLatencies(GatewayContext gateway, Admission admission) {
		this.gateway = gateway;
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

	private void recordRolloutResult(ServerState server, boolean bad) {
		this.gateway.rollouts()
			.recordAnswer(this.service, server.entry().version(), this.route.name(), bad, this.route.streaming());
	}

	private boolean isRolloutTarget(ServerState server) {
		return server.entry().version().equals(this.gateway.rollouts().targetVersion(this.service));
	}

}
