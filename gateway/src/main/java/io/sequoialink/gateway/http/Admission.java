package io.sequoialink.gateway.http;

import java.util.Optional;

import io.sequoialink.gateway.fleet.ClientAccount;
import io.sequoialink.gateway.fleet.Configuration;
import io.sequoialink.gateway.fleet.Route;

/**
 * Result of matching a request against the configuration: either an immediate rejection,
 * or its route, service and account. Immutable.
 *
 * @param rejection response to send if the request is not admitted
 * @param route route of the request, {@code null} if none matched
 * @param service service to send it to, {@code null} if no route matched
 * @param account client account that owns the request's key
 */
record Admission(Optional<LocalResponse> rejection, Route route, String service, Optional<ClientAccount> account) {

	/**
	 * Matches a request against the configuration.
	 * @param known the configuration, empty if none has been read yet
	 * @param request the request
	 * @param facts metadata of the request
	 * @return the admission
	 */
	static Admission of(Optional<Configuration> known, ClientRequest request, RequestFacts facts) {
		if (known.isEmpty()) {
			return rejected(LocalResponse.notRun("no configuration yet", LocalResponse.DEFAULT_RETRY_MILLIS));
		}
		if (facts.id().isEmpty()) {
			return rejected(LocalResponse.of(400, "no request id"));
		}
		Optional<Route> found = known.get().route(request.host(), request.path());
		if (found.isEmpty()) {
			return rejected(LocalResponse.of(404, "no route"));
		}
		Route route = found.get();
		String service = WeightedServiceChoice.choose(route.services(), facts.session().or(facts::id).orElse(""));
		Optional<ClientAccount> account = facts.key().flatMap(known.get()::account);
		boolean keyMissing = known.get().keysRequired() && !route.open() && account.isEmpty();
		Optional<LocalResponse> refusal = keyMissing ? Optional.of(LocalResponse.of(401, "unknown key"))
				: Optional.empty();
		return new Admission(refusal, route, service, account);
	}

	private static Admission rejected(LocalResponse answer) {
		return new Admission(Optional.of(answer), null, null, Optional.empty());
	}

	/**
	 * Returns the priority of the request.
	 * @return the account's priority if it has one, otherwise the route's; 0 is the
	 * highest
	 */
	int priority() {
		return this.account.filter((known) -> known.rank().isPresent())
			.map((known) -> known.rank().getAsInt())
			.orElse(this.route.rank());
	}

}
