/**
 * Detects requests that crash backend servers, together with the other hosts, and keeps
 * them from reaching further servers.
 */
package io.sequoialink.gateway.crash;
