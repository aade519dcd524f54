/**
 * What an entry host believes about the fleet: configuration, backend servers and
 * roll-outs. Immutable records, and one mutable view that belongs to the event loop.
 */
package io.sequoialink.gateway.fleet;
