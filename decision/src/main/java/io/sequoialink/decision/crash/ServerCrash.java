package io.sequoialink.decision.crash;

/**
 * Crash of a server that ran a request with a given fingerprint, as observed by one host.
 * Immutable.
 *
 * @param server incarnation of the server, the same text on all hosts
 * @param sentNanos monotonic time at which the request was sent to the server
 * @param atNanos monotonic time of the crash
 * @param counted whether the request was sent after the crash that the host counted
 * before; if not, the servers may have crashed together, and the crash only shows which
 * requests were in progress
 */
public record ServerCrash(String server, long sentNanos, long atNanos, boolean counted) {
}
