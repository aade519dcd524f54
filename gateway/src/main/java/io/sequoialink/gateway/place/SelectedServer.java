package io.sequoialink.gateway.place;

/**
 * A chosen backend server. Immutable.
 *
 * @param server the server
 * @param prefillMillis estimated prefill time until the response begins, in milliseconds
 * @param permitWaitNanos how long to wait for a permit if the server is limited, in
 * nanoseconds; 0 if there are servers that need none
 * @param heldTokens tokens that the request is expected to hold in the memory of the
 * server; 0 if that is not accounted for
 */
public record SelectedServer(ServerState server, double prefillMillis, long permitWaitNanos, double heldTokens) {
}
