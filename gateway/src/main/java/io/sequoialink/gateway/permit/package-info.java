/**
 * Keeps the limits that backend servers name, over all hosts together: which host may
 * send a server a request now. The owners of a limit's slices issue permits to the hosts
 * that ask for them in datagrams.
 */
package io.sequoialink.gateway.permit;
