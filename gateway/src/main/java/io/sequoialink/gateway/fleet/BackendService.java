package io.sequoialink.gateway.fleet;

import java.util.List;

/**
 * A service that backend servers offer. Immutable.
 *
 * @param name name of the service
 * @param healthPath path of the health check
 * @param maxConnections limit of connections that one backend server accepts from all
 * hosts together
 * @param cacheTokens number of tokens that fit into the KV cache of one inference engine;
 * 0 for services without engines
 * @param models models that the engines run; empty for services without engines
 * @param coldPerSecond requests per second that a cold server takes from all hosts
 * together; 0 for any number
 */
public record BackendService(String name, String healthPath, int maxConnections, long cacheTokens,
		List<ModelCost> models, double coldPerSecond) {
}
