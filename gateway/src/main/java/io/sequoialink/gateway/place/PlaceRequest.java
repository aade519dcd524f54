package io.sequoialink.gateway.place;

import java.util.Set;

import io.sequoialink.gateway.fleet.Route;

/**
 * What the choice of a backend server rests on. Immutable.
 *
 * @param route route of the request
 * @param service service that is to answer
 * @param key what decides affinity; 0 for none
 * @param pinKey hash of the session, or of the request if it belongs to none
 * @param tried identifiers of servers that the request was sent to already
 */
public record PlaceRequest(Route route, String service, long key, long pinKey, Set<String> tried) {
}
