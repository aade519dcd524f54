package io.sequoialink.gateway.relay;

import io.sequoialink.gateway.feed.ForwardedBatch;

/**
 * Content of a datagram with store records. Immutable.
 *
 * @param host name of the sending host
 * @param batch records that the sender read from the store
 */
record BatchMessage(String host, ForwardedBatch batch) {
}
