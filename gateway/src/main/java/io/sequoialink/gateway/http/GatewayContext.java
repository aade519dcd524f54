package io.sequoialink.gateway.http;

import java.util.function.LongSupplier;

import io.sequoialink.decision.cascade.ConfidenceCascade;
import io.sequoialink.decision.limits.LatencyPressure;
import io.sequoialink.decision.limits.RequestCostRatio;
import io.sequoialink.decision.retry.RetryBudget;
import io.sequoialink.gateway.admission.AdmissionControl;
import io.sequoialink.gateway.count.GatewayMetrics;
import io.sequoialink.gateway.crash.CrashCoordinator;
import io.sequoialink.gateway.crash.TraitCoordinator;
import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.permit.RequestPermits;
import io.sequoialink.gateway.place.LatencyBaseline;
import io.sequoialink.gateway.place.LoadBalancer;
import io.sequoialink.gateway.place.PrefillSpeed;
import io.sequoialink.gateway.place.ServerTable;
import io.sequoialink.gateway.rollout.RolloutCoordinator;

/**
 * State and services shared by all exchanges of a host. Confined to the event loop.
 *
 * @param startupGate queues requests until the configuration has been read
 * @param view configuration and backend servers known to this host
 * @param servers states of the backend servers
 * @param loadBalancer load balancing among the servers
 * @param cascade chooses the model for each request and decides whether a larger one is
 * asked after a response with low confidence
 * @param latencyPressure how far the recent mean time to the first byte of the engines'
 * responses exceeds its usual share of the permitted time; 0 if it does not
 * @param costRatio ratio of the engine time that a request takes to its value; the
 * latency pressure is multiplied by it, so that requests with a high ratio are restricted
 * first
 * @param rollouts chooses the versions to which a request may be sent during a roll-out,
 * and evaluates the new version's answers
 * @param prefillSpeed estimates for each model how long an engine processes a prompt
 * before the first token
 * @param latencyBaseline usual duration of responses, by service and model or by route
 * @param permits permits for servers that take a limited number of requests from all
 * hosts together
 * @param returns spreads the returns of requests rejected because of such limits
 * @param admission decides on requests while a service is short of capacity
 * @param pool connections to backend servers
 * @param headerMapping reads and writes the metadata of requests and responses, such as
 * the request's identifier, in their headers
 * @param retryBudget limits the number of retries in relation to the number of requests
 * @param crashCoordinator detects requests that crash servers and blocks them
 * @param traitCoordinator detects parts of prompts that crash servers and blocks requests
 * with them
 * @param responseBuffers memory limit for responses buffered until they are complete
 * @param metrics metrics of the host
 * @param clock monotonic time in nanoseconds
 */
public record GatewayContext(StartupGate startupGate, FleetView view, ServerTable servers, LoadBalancer loadBalancer,
		ConfidenceCascade cascade, LatencyPressure latencyPressure, RequestCostRatio costRatio,
		RolloutCoordinator rollouts, PrefillSpeed prefillSpeed, LatencyBaseline latencyBaseline, RequestPermits permits,
		ReturnSchedule returns, AdmissionControl admission, BackendPool pool, HeaderMapping headerMapping,
		RetryBudget retryBudget, CrashCoordinator crashCoordinator, TraitCoordinator traitCoordinator,
		ResponseBufferLimit responseBuffers, GatewayMetrics metrics, LongSupplier clock) {
}
