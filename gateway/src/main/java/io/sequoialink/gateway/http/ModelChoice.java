package io.sequoialink.gateway.http;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

import io.sequoialink.decision.cascade.ConfidenceCascade;
import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.fleet.Route;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Chooses the model for one request: passes what is known about the request to
 * {@link ConfidenceCascade}. Confined to the event loop.
 */
final class ModelChoice {

	private static final Logger logger = LoggerFactory.getLogger(ModelChoice.class);

	private static final double NANOS_PER_MILLI = 1e6;

	/**
	 * Step between the priorities of routes, which leaves room to queue long prompts
	 * behind short ones of the same priority.
	 */
	private static final int PRIORITY_STEP = 2;

	/** Value of the lowest priority that a server accepts; 0 is the highest. */
	private static final int LOWEST_PRIORITY = 9;

	/**
	 * Prompts of more tokens than this are queued behind shorter ones of the same
	 * priority.
	 */
	private static final int LONG_PROMPT_TOKENS = 6000;

	private final GatewayContext gateway;

	private final Admission admission;

	private final RequestMetadata metadata;

	private final long receivedNanos;

	private int model = -1;

	private int droppedModel = -1;

	ModelChoice(GatewayContext gateway, Admission admission, RequestMetadata metadata, long receivedNanos) {
		this.gateway = gateway;
		this.admission = admission;
		this.metadata = metadata;
		this.receivedNanos = receivedNanos;
		if (!route().models().isEmpty()) {
			gateway.costRatio().observe(route().name(), metadata.promptTokens());
			this.model = gateway.cascade().start(route().name(), timing(), weightedLatencyPressure());
		}
	}

	private Route route() {
		return this.admission.route();
	}

	/**
	 * Returns the model for the request.
	 * @return the host's choice or else the client's; empty for plain services
	 */
	Optional<String> modelName() {
		return hostChoice().or(this.metadata::model);
	}

	/**
	 * Returns the model that the host chose.
	 * @return the model, empty if the host does not choose one for this route
	 */
	Optional<String> hostChoice() {
		return (this.model >= 0) ? Optional.of(route().models().get(this.model)) : Optional.empty();
	}

	/**
	 * Decides from a model's confidence whether a larger model should answer instead.
	 * @param confidence the confidence, from 0 to 100
	 * @return index of the larger model in the route's list of models, or empty to accept
	 * the response
	 */
	OptionalInt largerModel(int confidence) {
		if (this.model < 0) {
			return OptionalInt.empty();
		}
		if (this.droppedModel >= 0) {
			this.gateway.cascade().recordEscalation(route().name(), this.droppedModel, this.model, confidence);
		}
		return this.gateway.cascade()
			.evaluate(route().name(), this.model, confidence, prices(), timing(), weightedLatencyPressure());
	}

	/**
	 * Selects a larger model for the next attempt of the request.
	 * @param larger index of the model in the route's list of models
	 * @param confidence the confidence because of which the present response is dropped
	 */
	void escalate(int larger, int confidence) {
		logger.info(GatewayEvents.RESPONSE_DROPPED, this.metadata.id().orElse("unnamed"), modelName().orElse("none"),
				confidence, route().models().get(larger));
		this.droppedModel = this.model;
		this.model = larger;
	}

	/**
	 * Returns the priority of the request at its server.
	 * @return priority for streams, from 0 (first) to 9; empty for other requests
	 */
	OptionalInt priority() {
		if (!route().streaming()) {
			return OptionalInt.empty();
		}
		int base = PRIORITY_STEP * Math.max(0, Math.min(this.admission.priority(), LOWEST_PRIORITY / PRIORITY_STEP));
		return OptionalInt.of(base + ((this.metadata.promptTokens() > LONG_PROMPT_TOKENS) ? 1 : 0));
	}

	/**
	 * Records the time to the first byte of the response, relative to the route's target.
	 */
	void recordFirstByte() {
		if (route().targetLatencyMillis() > 0) {
			this.gateway.latencyPressure()
				.observe(elapsedMillis() / route().targetLatencyMillis(), this.gateway.clock().getAsLong());
		}
	}

	// Latency pressure of the engines, multiplied by the ratio of the engine time that
	// this request takes to its value.
	private double weightedLatencyPressure() {
		double weight = this.gateway.costRatio()
			.ratio(route().name(), this.metadata.promptTokens(), this.admission.priority());
		return this.gateway.latencyPressure().value() * weight;
	}

	private ConfidenceCascade.Timing timing() {
		List<Double> millis = new ArrayList<>();
		for (String name : route().models()) {
			millis.add(firstPartMillis(name));
		}
		double left = (route().targetLatencyMillis() > 0) ? Math.max(1, route().targetLatencyMillis() - elapsedMillis())
				: 0;
		return new ConfidenceCascade.Timing(millis, left);
	}

	private double firstPartMillis(String modelName) {
		int tokens = this.metadata.promptTokens();
		return this.gateway.servers().reportsSlowdown(this.admission.service())
				? this.gateway.prefillSpeed().firstTokenMillis(modelName, tokens)
				: this.gateway.prefillSpeed().estimateMillis(modelName, tokens);
	}

	private double elapsedMillis() {
		return (this.gateway.clock().getAsLong() - this.receivedNanos) / NANOS_PER_MILLI;
	}

	private List<Double> prices() {
		Map<String, Double> costs = new HashMap<>();
		this.gateway.view()
			.configuration()
			.flatMap((known) -> known.service(this.admission.service()))
			.ifPresent((known) -> known.models().forEach((cost) -> costs.put(cost.name(), cost.cost())));
		List<Double> prices = new ArrayList<>();
		for (String name : route().models()) {
			prices.add(costs.getOrDefault(name, 1.0));
		}
		return prices;
	}

}
