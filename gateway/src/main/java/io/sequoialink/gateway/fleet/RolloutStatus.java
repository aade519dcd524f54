package io.sequoialink.gateway.fleet;

/**
 * The fleet's published state of a roll-out. Immutable.
 *
 * @param service name of the service
 * @param target version that is moved to
 * @param state where the roll-out stands
 * @param order offset of the order's record, so that a repeated order is told apart
 * @param ageMillis time from the order until now, in milliseconds; 0 if not known
 */
public record RolloutStatus(String service, String target, RolloutState state, long order, long ageMillis) {
}
