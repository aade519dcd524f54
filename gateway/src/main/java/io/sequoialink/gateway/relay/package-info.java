/**
 * Hosts that read the platform's store for others, since each call is paid for. Nothing
 * correct depends on it: a host that hears nothing reads for itself in time.
 */
package io.sequoialink.gateway.relay;
