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
 * @param account client account to which the request's API key belongs, empty if the key
 * is missing or not known
 */
record Admission(Optional<LocalResponse> rejection, Route route, String service, Optional<ClientAccount> account) {

	/**
	 * Matches a request against the configuration.
	 * @param configuration the configuration, empty if none has been read yet
	 * @param request the request
	 * @param metadata metadata of the request
	 * @return the admission
	 */
	static Admission of(Optional<Configuration> configuration, ClientRequest request, RequestMetadata metadata) {
		if (configuration.isEmpty()) {
			return rejected(LocalResponse.notRun("no configuration yet", LocalResponse.DEFAULT_RETRY_MILLIS));
		}
		if (metadata.id().isEmpty()) {
			return rejected(LocalResponse.of(400, "no request id"));
		}
		Optional<Route> matched = configuration.get().route(request.host(), request.path());
		if (matched.isEmpty()) {
			return rejected(LocalResponse.of(404, "no route"));
		}
		Route route = matched.get();
		String service = WeightedServiceChoice.choose(route.services(), metadata.session().or(metadata::id).orElse(""));
		Optional<ClientAccount> account = metadata.key().flatMap(configuration.get()::account);
		boolean keyMissing = configuration.get().keysRequired() && !route.keyless() && account.isEmpty();
		Optional<LocalResponse> rejection = keyMissing ? Optional.of(LocalResponse.of(401, "unknown key"))
				: Optional.empty();
		return new Admission(rejection, route, service, account);
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
		return this.account.filter((owner) -> owner.priority().isPresent())
			.map((owner) -> owner.priority().getAsInt())
			.orElse(this.route.priority());
	}

}
