/**
 * Connections from clients and to backend servers, on one event loop. Nothing here blocks
 * and nothing here decides what may be repeated; that is
 * {@link io.sequoialink.gateway.flow}.
 */
package io.sequoialink.gateway.http;
