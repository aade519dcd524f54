/**
 * What a host knows about the fleet: configuration, backend servers and roll-outs, as
 * immutable records, and one mutable view that is confined to the event loop.
 */
package io.sequoialink.gateway.fleet;
