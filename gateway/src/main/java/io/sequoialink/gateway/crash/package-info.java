/**
 * Keeps requests that crash backend servers from reaching more of them, together with the
 * other hosts.
 */
package io.sequoialink.gateway.crash;
