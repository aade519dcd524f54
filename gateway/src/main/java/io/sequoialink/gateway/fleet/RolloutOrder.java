package io.sequoialink.gateway.fleet;

/**
 * An operator's order to roll out another version of a service. Immutable.
 *
 * @param service name of the service
 * @param target version to roll out
 * @param durationMillis time within which the roll-out has to be complete, in
 * milliseconds
 */
public record RolloutOrder(String service, String target, long durationMillis) {
}
