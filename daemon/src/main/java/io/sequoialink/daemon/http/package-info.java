/**
 * The HTTP interface of an entry host towards callers, operators and the balancer.
 */
package io.sequoialink.daemon.http;
