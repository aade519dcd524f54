/**
 * State of the backend servers as known to this host, and load balancing between them.
 */
package io.sequoialink.gateway.place;
