package io.sequoialink.gateway.fleet;

/**
 * A service with its share of a route's requests. Immutable.
 *
 * @param service name of the service
 * @param weight share relative to the other services of the route, 0 or more
 */
public record WeightedService(String service, double weight) {
}
