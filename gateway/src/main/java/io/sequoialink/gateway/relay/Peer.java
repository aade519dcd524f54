package io.sequoialink.gateway.relay;

import java.net.InetSocketAddress;

/**
 * An entry host as the others know it. Immutable.
 *
 * @param host name of the host
 * @param zone its availability zone
 * @param address where it takes datagrams of other hosts
 */
public record Peer(String host, String zone, InetSocketAddress address) {
}
