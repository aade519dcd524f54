package io.sequoialink.bench.latency;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sequoialink.bench.live.Caller;
import io.sequoialink.bench.live.DeploymentObjects;
import io.sequoialink.bench.live.LiveFleet;
import io.sequoialink.daemon.host.EntryHost;
import io.sequoialink.decision.ServerPolicy;
import io.sequoialink.model.Json;
import io.sequoialink.standin.EngineRun;
import io.sequoialink.standin.Standins;

/**
 * Runs one policy over a fleet of its own before stand-ins of its own. Confined to one
 * thread.
 */
final class RoutingRun {

	/** Prefixes that an engine's cache holds besides those of single requests. */
	private static final int REMEMBERED = 250;

	/** Characters of a shared prefix, more than the router compares. */
	private static final int PREFIX_CHARACTERS = 1200;

	private final OpenLoop loop = new OpenLoop();

	private final Map<String, Integer> prefixes = new ConcurrentHashMap<>();

	private int hits;

	private int answers;

	/**
	 * Runs all arrivals.
	 * @param arrivals the arrivals
	 * @param setting the fleet
	 * @param policy the policy under test, one for each host
	 * @param warmUp requests that are not counted
	 * @throws Exception if the fleet cannot be run
	 */
	void run(List<Arrival> arrivals, Setting setting, Supplier<ServerPolicy> policy, int warmUp) throws Exception {
		this.prefixes.clear();
		try (LiveFleet fleet = LatencyFleet.start(setting.deployment(), setting.seed(), setting.hosts(),
				setting.speed(), policy)) {
			List<Caller> callers = new ArrayList<>();
			for (EntryHost host : fleet.hosts()) {
				callers.add(new Caller(host.httpPort()));
			}
			this.loop.run(arrivals.stream().map(Arrival::atNanos).toList(), warmUp,
					(number) -> send(callers, arrivals.get(number), number));
			for (Caller caller : callers) {
				caller.close();
			}
			countHits(fleet.standins());
		}
	}

	private double send(List<Caller> callers, Arrival arrival, int number) {
		ObjectNode body = Json.mapper().createObjectNode().put("model", "auto").put("stream", true);
		body.put("max_tokens", arrival.row().answerTokens().min());
		ArrayNode messages = body.putArray("messages");
		messages.addObject()
			.put("role", "system")
			.put("content", ("prefix " + arrival.prefix() + " ").repeat(PREFIX_CHARACTERS / 8));
		messages.addObject().put("role", "user").put("content", "request " + number);
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("authorization", "Bearer " + DeploymentObjects.key(LatencyFleet.ACCOUNT));
		headers.put("x-sequoialink-class", arrival.row().id());
		Caller.Reply reply = callers.get(arrival.host()).send("POST", "/v1/chat/completions", headers, body.toString());
		reply.request().ifPresent((request) -> this.prefixes.put(request, arrival.prefix()));
		return reply.answered() ? reply.firstMillis() : -1;
	}

	private void countHits(Standins standins) {
		List<EngineRun> runs = new ArrayList<>(standins.executionRecorder().runs());
		runs.sort(Comparator.comparingLong(EngineRun::startedAtMillis));
		Map<String, Map<Integer, Integer>> lastSeen = new HashMap<>();
		Map<String, Integer> counts = new HashMap<>();
		for (EngineRun run : runs) {
			Integer prefix = this.prefixes.get(run.request());
			int count = counts.merge(run.server(), 1, Integer::sum);
			Integer before = lastSeen.computeIfAbsent(run.server(), (server) -> new HashMap<>()).put(prefix, count);
			this.hits += (prefix != null && before != null && count - before <= REMEMBERED) ? 1 : 0;
		}
		this.answers += runs.size();
	}

	OpenLoop loop() {
		return this.loop;
	}

	double prefixHitShare() {
		return (double) this.hits / Math.max(1, this.answers);
	}

	/**
	 * A fleet. Immutable and thread-safe.
	 *
	 * @param deployment the deployment
	 * @param seed the seed
	 * @param hosts number of hosts
	 * @param speed factor on all times of the engines
	 */
	record Setting(String deployment, long seed, int hosts, double speed) {
	}

}
