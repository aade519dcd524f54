/**
 * The life cycle of one request as a pure state machine: no sockets, threads or clock.
 */
package io.sequoialink.gateway.flow;
