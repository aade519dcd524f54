package io.sequoialink.gateway.fleet;

import java.net.InetSocketAddress;

/**
 * What a backend server says of itself. Immutable.
 *
 * @param id identifier of the server
 * @param service service that it offers
 * @param address where it listens
 * @param zone availability zone, empty if not stated
 * @param version version of its software
 * @param slots requests that it processes at once
 * @param draining whether it is about to leave
 * @param coldMillis how much longer it is slow after its start, in milliseconds
 * @param bornMillis Unix time of its start in milliseconds, 0 if not stated
 */
public record ServerEntry(String id, String service, InetSocketAddress address, String zone, String version, int slots,
		boolean draining, long coldMillis, long bornMillis) {
}
