package io.sequoialink.gateway.fleet;

/**
 * An operator's order to move a service to another version. Immutable.
 *
 * @param service name of the service
 * @param target version to move to
 * @param durationMillis time in which the move is to be complete, in milliseconds
 */
public record RolloutOrder(String service, String target, long durationMillis) {
}
