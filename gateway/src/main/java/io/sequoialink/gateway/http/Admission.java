package io.sequoialink.gateway.http;

import java.util.Optional;

import io.sequoialink.gateway.fleet.ClientAccount;
import io.sequoialink.gateway.fleet.Configuration;
import io.sequoialink.gateway.fleet.Route;

/**
 * What the configuration says of a request: an answer at once, or its route, service and
 * account. Immutable.
 *
 * @param refusal answer of the system's own, if the request is not admitted
 * @param route route of the request, {@code null} if none was found
 * @param service service that is to answer, {@code null} if no route was found
 * @param account account that holds the request's key
 */
record Admission(Optional<OwnAnswer> refusal, Route route, String service, Optional<ClientAccount> account) {

	/**
	 * Looks a request up in the configuration.
	 * @param known the configuration, empty if none is known yet
	 * @param request the request
	 * @param facts what it says of itself
	 * @return the admission
	 */
	static Admission of(Optional<Configuration> known, ClientRequest request, RequestFacts facts) {
		if (known.isEmpty()) {
			return refused(OwnAnswer.notRun("no configuration yet", OwnAnswer.RETRY_MILLIS));
		}
		if (facts.id().isEmpty()) {
			return refused(OwnAnswer.of(400, "no request id"));
		}
		Optional<Route> found = known.get().route(request.host(), request.path());
		if (found.isEmpty()) {
			return refused(OwnAnswer.of(404, "no route"));
		}
		Route route = found.get();
		String service = ServiceDraw.draw(route.services(), facts.session().or(facts::id).orElse(""));
		Optional<ClientAccount> account = facts.key().flatMap(known.get()::account);
		boolean keyMissing = known.get().keysRequired() && !route.open() && account.isEmpty();
		Optional<OwnAnswer> refusal = keyMissing ? Optional.of(OwnAnswer.of(401, "unknown key")) : Optional.empty();
		return new Admission(refusal, route, service, account);
	}

	private static Admission refused(OwnAnswer answer) {
		return new Admission(Optional.of(answer), null, null, Optional.empty());
	}

	/**
	 * Returns how urgent the request is.
	 * @return the account's rank if it has one, else the route's; 0 is the highest
	 */
	int urgency() {
		return this.account.filter((known) -> known.rank().isPresent())
			.map((known) -> known.rank().getAsInt())
			.orElse(this.route.rank());
	}

}
