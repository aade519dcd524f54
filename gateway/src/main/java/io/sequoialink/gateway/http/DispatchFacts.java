package io.sequoialink.gateway.http;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * What the system states to a backend server about a request. Immutable.
 *
 * @param server identifier of the server that is meant
 * @param remainingMillis time that is left, in milliseconds
 * @param account name of the client account
 * @param model model that is to answer, if the system chooses it
 * @param rank urgency among the requests of the server, from 0 (first) to 9
 * @param lastEvent event after which the answer is to go on
 */
public record DispatchFacts(String server, long remainingMillis, Optional<String> account, Optional<String> model,
		OptionalInt rank, Optional<String> lastEvent) {
}
