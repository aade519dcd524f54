package io.sequoialink.gateway.http;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;

import io.sequoialink.decision.limits.NamedLimit;
import io.sequoialink.gateway.place.ResponseNotice;

/**
 * Metadata in the headers of a backend server's response. Immutable.
 *
 * @param requestId identifier of the request that it answers
 * @param seal text of the server's signature, empty if there is no such header
 * @param notExecuted whether the server states that it did not run the request
 * @param load current load of the server
 * @param loadIgnored whether the response carries a load report that is malformed
 * @param confidence the model's confidence in its answer, from 0 to 100
 * @param notice the server's notice about future requests; its back-off time is only
 * valid with status 503
 * @param limit what it says of the requests that the server takes from all hosts together
 * @param bearableRejections requests that the server can turn away in a second without
 * falling over; empty unless it says that it is brittle
 * @param coldMillis how long the server stays cold, in milliseconds, 0 if it is warm;
 * empty if it does not say
 */
public record ResponseMetadata(Optional<String> requestId, Optional<String> seal, boolean notExecuted,
		Optional<ServerLoad> load, boolean loadIgnored, OptionalInt confidence, ResponseNotice notice, NamedLimit limit,
		OptionalDouble bearableRejections, OptionalLong coldMillis) {

	/**
	 * Returns whether the response carries the server's signature.
	 * @return whether it is signed; a signature without text is none
	 */
	public boolean signed() {
		return this.seal.filter((text) -> !text.isBlank()).isPresent();
	}

}
