/**
 * The network paths from this host to backend servers: directly, or through another host
 * if this one does not reach them.
 */
package io.sequoialink.gateway.path;
