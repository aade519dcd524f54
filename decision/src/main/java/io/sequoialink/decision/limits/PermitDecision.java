package io.sequoialink.decision.limits;

/**
 * Answer to a host that asks for a permit to send one request to a limited backend
 * server. Immutable.
 *
 * @param granted whether the permit is granted
 * @param delayNanos time from now at which it becomes valid, in nanoseconds; 0 if it is
 * not granted
 * @param nextNanos earliest time from now of the next permit, in nanoseconds
 */
public record PermitDecision(boolean granted, long delayNanos, long nextNanos) {
}
