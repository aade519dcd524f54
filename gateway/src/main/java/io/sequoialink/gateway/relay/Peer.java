package io.sequoialink.gateway.relay;

import java.net.InetSocketAddress;

/**
 * An entry host with the address at which other hosts reach it. Immutable.
 *
 * @param host name of the host
 * @param zone its availability zone
 * @param address address at which it receives datagrams from other hosts
 */
public record Peer(String host, String zone, InetSocketAddress address) {
}
