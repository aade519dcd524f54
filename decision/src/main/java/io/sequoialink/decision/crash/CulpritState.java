package io.sequoialink.decision.crash;

/**
 * What is known of traits that crash servers. Immutable. The newest state counts.
 *
 * @param crashes number of crashes after which they became culprits
 * @param atNanos monotonic time at which they became culprits, or were lifted
 * @param lifted whether an operator permits requests with them again
 */
public record CulpritState(int crashes, long atNanos, boolean lifted) {
}
