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
 * Which model answers one request: brings what is known of the request before
 * {@link ConfidenceCascade}. Confined to the event loop.
 */
final class ModelChoice {

	private static final Logger logger = LoggerFactory.getLogger(ModelChoice.class);

	private static final double NANOS_PER_MILLI = 1e6;

	/** Distance between the ranks of routes, so that size can decide within a rank. */
	private static final int RANKS_APART = 2;

	/** Least urgent rank that a server knows. */
	private static final int LAST_RANK = 9;

	/** Prompts above this wait behind shorter ones of the same rank. */
	private static final int LONG_PROMPT_TOKENS = 6000;

	private final Gateway gateway;

	private final Admission admission;

	private final RequestFacts facts;

	private final long receivedNanos;

	private int model = -1;

	private int droppedModel = -1;

	ModelChoice(Gateway gateway, Admission admission, RequestFacts facts, long receivedNanos) {
		this.gateway = gateway;
		this.admission = admission;
		this.facts = facts;
		this.receivedNanos = receivedNanos;
		if (!route().models().isEmpty()) {
			gateway.density().observe(route().name(), facts.promptTokens());
			this.model = gateway.cascade().start(route().name(), timing(), strain());
		}
	}

	private Route route() {
		return this.admission.route();
	}

	/**
	 * Returns the model that is to answer.
	 * @return the system's choice or the client's; empty for plain services
	 */
	Optional<String> name() {
		return chosen().or(this.facts::model);
	}

	/**
	 * Returns the system's choice.
	 * @return the model, empty if the choice is not the system's
	 */
	Optional<String> chosen() {
		return (this.model >= 0) ? Optional.of(route().models().get(this.model)) : Optional.empty();
	}

	/**
	 * Judges an answer by its model's opinion.
	 * @param opinion the opinion, from 0 to 100
	 * @return index of a larger model to ask instead, or empty to accept the answer
	 */
	OptionalInt larger(int opinion) {
		if (this.model < 0) {
			return OptionalInt.empty();
		}
		if (this.droppedModel >= 0) {
			this.gateway.cascade().escalated(route().name(), this.droppedModel, this.model, opinion);
		}
		return this.gateway.cascade().judge(route().name(), this.model, opinion, prices(), timing(), strain());
	}

	/**
	 * Takes a larger model.
	 * @param larger its index
	 * @param opinion the opinion for which the present answer is dropped
	 */
	void take(int larger, int opinion) {
		logger.info(GatewayEvents.ANSWER_DROPPED, this.facts.id().orElse("unnamed"), name().orElse("none"), opinion,
				route().models().get(larger));
		this.droppedModel = this.model;
		this.model = larger;
	}

	/**
	 * Returns the rank that the request has among those of its server.
	 * @return the rank for streams, from 0 (first) to 9; empty for other requests
	 */
	OptionalInt rank() {
		if (!route().streaming()) {
			return OptionalInt.empty();
		}
		int doubled = RANKS_APART * Math.max(0, Math.min(this.admission.urgency(), LAST_RANK / RANKS_APART));
		return OptionalInt.of(doubled + ((this.facts.promptTokens() > LONG_PROMPT_TOKENS) ? 1 : 0));
	}

	/**
	 * Notes that the first part of the answer is there.
	 */
	void began() {
		if (route().targetMillis() > 0) {
			this.gateway.strain().observe(elapsedMillis() / route().targetMillis(), this.gateway.clock().getAsLong());
		}
	}

	// The strain as it counts for this request.
	private double strain() {
		double density = this.gateway.density().of(route().name(), this.facts.promptTokens(), this.admission.urgency());
		return this.gateway.strain().value() * density;
	}

	private ConfidenceCascade.Timing timing() {
		List<Double> millis = new ArrayList<>();
		for (String name : route().models()) {
			millis.add(this.gateway.speed().millis(name, this.facts.promptTokens()));
		}
		double left = (route().targetMillis() > 0) ? Math.max(1, route().targetMillis() - elapsedMillis()) : 0;
		return new ConfidenceCascade.Timing(millis, left);
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
