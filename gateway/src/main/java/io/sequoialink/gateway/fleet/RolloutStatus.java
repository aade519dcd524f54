package io.sequoialink.gateway.fleet;

/**
 * State of a roll-out as published for all hosts. Immutable.
 *
 * @param service name of the service
 * @param target version that is rolled out
 * @param state state of the roll-out
 * @param order offset of the record with the operator's roll-out order, which
 * distinguishes successive orders for the same version
 * @param ageMillis time since the operator ordered the roll-out, in milliseconds; 0 if
 * not known
 */
public record RolloutStatus(String service, String target, RolloutState state, long order, long ageMillis) {
}
