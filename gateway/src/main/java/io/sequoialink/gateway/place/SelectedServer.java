package io.sequoialink.gateway.place;

/**
 * A chosen backend server. Immutable.
 *
 * @param server the server
 * @param prefillMillis estimated prefill time until the response begins, in milliseconds
 */
public record SelectedServer(ServerState server, double prefillMillis) {
}
