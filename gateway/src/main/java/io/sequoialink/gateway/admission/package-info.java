/**
 * Admission of requests while a service is short of capacity: what this host knows of the
 * service's capacity and of its own clients' demand, and the requests that it holds.
 */
package io.sequoialink.gateway.admission;
