/**
 * Exchange of datagrams between entry hosts. One host reads the platform's store and
 * forwards the records to the others, because every call to the store is paid for; and
 * hosts gossip the notices of backend servers. Correctness does not depend on either: a
 * host that receives no datagrams reads the store itself after a timeout.
 */
package io.sequoialink.gateway.relay;
