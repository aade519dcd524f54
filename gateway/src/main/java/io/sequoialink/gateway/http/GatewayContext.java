package io.sequoialink.gateway.http;

import java.util.function.LongSupplier;

import io.sequoialink.decision.cascade.ConfidenceCascade;
import io.sequoialink.decision.limits.LatencyPressure;
import io.sequoialink.decision.limits.RequestCostRatio;
import io.sequoialink.decision.retry.RetryBudget;
import io.sequoialink.gateway.count.GatewayMetrics;
import io.sequoialink.gateway.crash.CrashCoordinator;
import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.place.LatencyBaseline;
import io.sequoialink.gateway.place.LoadBalancer;
import io.sequoialink.gateway.place.PrefillSpeed;
import io.sequoialink.gateway.place.ServerTable;
import io.sequoialink.gateway.rollout.RolloutCoordinator;

/**
 * State and services shared by all exchanges of a host. Confined to the event loop.
 *
 * @param startupGate queues requests until the configuration is known
 * @param view configuration and backend servers known to this host
 * @param servers states of the backend servers
 * @param loadBalancer load balancing among the servers
 * @param cascade choice among models
 * @param latencyPressure how far first-byte latencies of the engines exceed their targets
 * @param costRatio cost of a request relative to its benefit, which weights the latency
 * pressure
 * @param rollouts choice among versions
 * @param prefillSpeed prompt processing time of each model
 * @param latencyBaseline usual latency per group of comparable responses
 * @param pool connections to backend servers
 * @param headerMapping mapping of metadata to header names
 * @param retryBudget limits retries to a share of the requests
 * @param crashCoordinator detects requests that crash servers and blocks them
 * @param responseBuffers memory limit for responses buffered until they are complete
 * @param metrics metrics of the host
 * @param clock monotonic time in nanoseconds
 */
public record GatewayContext(StartupGate startupGate, FleetView view, ServerTable servers, LoadBalancer loadBalancer,
		ConfidenceCascade cascade, LatencyPressure latencyPressure, RequestCostRatio costRatio,
		RolloutCoordinator rollouts, PrefillSpeed prefillSpeed, LatencyBaseline latencyBaseline, BackendPool pool,
		HeaderMapping headerMapping, RetryBudget retryBudget, CrashCoordinator crashCoordinator,
		ResponseBufferLimit responseBuffers, GatewayMetrics metrics, LongSupplier clock) {
}
