package io.sequoialink.gateway.place;

import java.util.Set;

import io.sequoialink.gateway.rollout.VersionGroup;

/**
 * What the choice of a backend server rests on. Immutable.
 *
 * @param service service that is to answer
 * @param versions versions that may answer
 * @param target version that the service is moved to, empty if to none
 * @param targetShare share of the requests that goes to that version, from 0 to 1
 * @param work what the request asks of an engine
 * @param tried identifiers of servers that the request was sent to already
 */
public record PlaceRequest(String service, VersionGroup versions, String target, double targetShare, EngineWork work,
		Set<String> tried) {
}
