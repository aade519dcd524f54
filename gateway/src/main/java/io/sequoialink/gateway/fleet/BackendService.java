package io.sequoialink.gateway.fleet;

import java.util.List;

/**
 * A service that backend servers offer. Immutable.
 *
 * @param name name of the service
 * @param healthPath path of the health check
 * @param maxConnections connections that one backend server accepts from all hosts
 * together
 * @param memoryTokens tokens that the memory of one engine holds; 0 for plain services
 * @param models models that the engines run, empty for plain services
 */
public record BackendService(String name, String healthPath, int maxConnections, long memoryTokens,
		List<ModelCost> models) {
}
