/**
 * HTTP connections from clients and to backend servers, on one event loop. Nothing here
 * blocks. Whether a request may be retried is decided in
 * {@link io.sequoialink.gateway.flow}.
 */
package io.sequoialink.gateway.http;
