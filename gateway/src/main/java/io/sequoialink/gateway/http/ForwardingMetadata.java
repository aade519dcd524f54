package io.sequoialink.gateway.http;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * Metadata that the host adds to a request before it forwards it to a backend server.
 * Immutable.
 *
 * @param server identifier of the addressed server
 * @param remainingMillis time until the deadline, in milliseconds
 * @param account name of the client account
 * @param model model to use, if the host chooses it
 * @param priority priority among the requests of the server, from 0 (first) to 9
 * @param lastEvent id of the event after which the stream must resume
 */
public record ForwardingMetadata(String server, long remainingMillis, Optional<String> account, Optional<String> model,
		OptionalInt priority, Optional<String> lastEvent) {
}
