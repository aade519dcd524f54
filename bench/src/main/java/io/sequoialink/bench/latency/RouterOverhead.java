package io.sequoialink.bench.latency;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.sequoialink.bench.live.Caller;
import io.sequoialink.bench.live.DeploymentObjects;
import io.sequoialink.bench.live.LiveFleet;
import io.sequoialink.bench.outcomes.OutcomeTable;
import io.sequoialink.decision.routing.LoadAwareServerPolicy;
import io.sequoialink.decision.routing.RoutingParameters;
import io.sequoialink.model.AccountId;
import io.sequoialink.model.ClassId;
import io.sequoialink.model.Json;
import io.sequoialink.model.RequestId;
import io.sequoialink.model.VersionId;
import io.sequoialink.remote.EngineClient;
import io.sequoialink.standin.StandinEngine;
import io.sequoialink.standin.Standins;

/**
 * Measures what one host adds to the first token: the difference of percentiles between
 * calls through the host and calls of the engines without it, at the same rate. Confined
 * to one thread.
 */
final class RouterOverhead {

	private static final double PER_SECOND = 500;

	private static final double SPEED = 0.01;

	private final OutcomeTable table;

	private final String deployment;

	private final long seed;

	private final int count;

	RouterOverhead(OutcomeTable table, String deployment, long seed, int count) {
		this.table = table;
		this.deployment = deployment;
		this.seed = seed;
		this.count = count;
	}

	/**
	 * Measures.
	 * @return direct and routed waits
	 * @throws Exception if the fleet cannot be run
	 */
	Result measure() throws Exception {
		List<Arrival> arrivals = Arrival.draw(this.table, this.seed, this.count, PER_SECOND, 1, 1);
		List<Long> due = arrivals.stream().map(Arrival::atNanos).toList();
		try (LiveFleet fleet = LatencyFleet.start(this.deployment, this.seed, 1, SPEED,
				() -> new LoadAwareServerPolicy(RoutingParameters.DEFAULT));
				Caller caller = new Caller(fleet.hosts().get(0).httpPort())) {
			OpenLoop routed = new OpenLoop();
			routed.run(due, this.count / 2, (number) -> routed(caller, arrivals.get(number)));
			OpenLoop direct = new OpenLoop();
			List<Caller> engines = engines(fleet.standins());
			direct.run(due, this.count / 2, (number) -> direct(engines.get(number % engines.size()), number));
			for (Caller engine : engines) {
				engine.close();
			}
			return new Result(direct, routed);
		}
	}

	private double routed(Caller caller, Arrival arrival) {
		Caller.Reply reply = caller.chat(DeploymentObjects.key(LatencyFleet.ACCOUNT), arrival.row().id(), "one token",
				1, true, Map.of());
		return reply.answered() ? reply.firstMillis() : -1;
	}

	private List<Caller> engines(Standins standins) {
		String cheapest = this.table.versions().get(0).id();
		List<Caller> callers = new ArrayList<>();
		for (StandinEngine engine : standins.engines().values()) {
			if (engine.directoryEntry().offers().contains(cheapest)) {
				callers.add(new Caller(engine.directoryEntry().port()));
			}
		}
		return callers;
	}

	private double direct(Caller engine, int number) {
		EngineClient.EngineRequest request = new EngineClient.EngineRequest(new RequestId("direct-" + number), 0,
				new VersionId(this.table.versions().get(0).id()),
				List.of(new EngineClient.Message("user", "one token")), 1, 0, Duration.ofSeconds(10), 0,
				new ClassId(this.table.classes().get(0).id()), new AccountId("account-0"));
		Caller.Reply reply = engine.send("POST", "/v1/generate", Map.of(),
				Json.mapper().valueToTree(request).toString());
		return (reply.status() == 200) ? reply.firstMillis() : -1;
	}

	/**
	 * Waits without and with the host. Immutable.
	 *
	 * @param direct calls of the engines
	 * @param routed calls through the host
	 */
	record Result(OpenLoop direct, OpenLoop routed) {

		double p99() {
			return this.routed.millisAt(99) - this.direct.millisAt(99);
		}

		double p50() {
			return this.routed.millisAt(50) - this.direct.millisAt(50);
		}

	}

}
