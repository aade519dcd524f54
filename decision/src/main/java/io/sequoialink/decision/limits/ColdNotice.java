package io.sequoialink.decision.limits;

/**
 * What one host tells another of a cold backend server. Immutable.
 *
 * @param perSecond requests per second that the server takes from all hosts together
 * @param leftNanos time that the server stays cold, from the moment of the notice, in
 * nanoseconds
 */
public record ColdNotice(double perSecond, long leftNanos) {
}
