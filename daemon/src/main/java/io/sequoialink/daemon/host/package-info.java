/**
 * An entry host: its wiring, its background duties, its start and its stop.
 */
package io.sequoialink.daemon.host;
