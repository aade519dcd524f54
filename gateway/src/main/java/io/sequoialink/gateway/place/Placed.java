package io.sequoialink.gateway.place;

/**
 * A chosen backend server. Immutable.
 *
 * @param server the server
 * @param workMillis time that it needs until its answer begins, in milliseconds
 */
public record Placed(ServerState server, double workMillis) {
}
