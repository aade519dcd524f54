package io.sequoialink.gateway.fleet;

import java.net.InetSocketAddress;

/**
 * Registration of a backend server, written by the server itself. Immutable.
 *
 * @param id identifier of the server
 * @param service service that the server offers
 * @param address address on which the server accepts requests
 * @param zone availability zone, empty if unknown
 * @param version software version of the server
 * @param slots number of requests that the server processes in parallel
 * @param draining whether the server is shutting down
 * @param warmupMillis remaining time of its warm-up when the entry was written, in which
 * the server is cold: responses are slower, and its service may limit its requests; in
 * milliseconds
 * @param startMillis start time as Unix time in milliseconds, 0 if unknown; it
 * distinguishes the incarnations of a server
 */
public record ServerEntry(String id, String service, InetSocketAddress address, String zone, String version, int slots,
		boolean draining, long warmupMillis, long startMillis) {
}
