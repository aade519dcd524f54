package io.sequoialink.gateway.relay;

import io.sequoialink.gateway.feed.SharedRead;

/**
 * What a datagram tells. Immutable.
 *
 * @param host name of the host that sent it
 * @param read what it read
 */
record RelayMessage(String host, SharedRead read) {
}
