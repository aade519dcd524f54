/**
 * State machine for the attempts and the outcome of one request, without sockets, threads
 * or a clock.
 */
package io.sequoialink.gateway.flow;
