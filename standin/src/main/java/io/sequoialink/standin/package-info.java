/**
 * Small stand-ins of the outside systems, spoken to over HTTP on loopback.
 */
package io.sequoialink.standin;
