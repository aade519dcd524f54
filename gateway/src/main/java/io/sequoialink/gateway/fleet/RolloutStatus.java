package io.sequoialink.gateway.fleet;

/**
 * The fleet's published state of a roll-out. Immutable.
 *
 * @param service name of the service
 * @param target version that is moved to
 * @param state where the roll-out stands
 * @param share share of the sessions that go to the new version, from 0 to 1
 * @param order offset of the order's record, so that a repeated order is told apart
 */
public record RolloutStatus(String service, String target, RolloutState state, double share, long order) {
}
