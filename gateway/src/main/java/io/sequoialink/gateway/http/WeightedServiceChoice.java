package io.sequoialink.gateway.http;

import java.util.List;

import io.sequoialink.gateway.fleet.WeightedService;

/**
 * Chooses one of a route's services in proportion to their weights. The choice depends
 * only on the weights and a key (the session, or the request's identifier if it has no
 * session), so that all hosts send the requests of a session to the same service.
 * Stateless.
 */
final class WeightedServiceChoice {

	private static final int STEPS = 10007;

	private WeightedServiceChoice() {
	}

	static String choose(List<WeightedService> services, String key) {
		if (services.size() == 1) {
			return services.get(0).service();
		}
		double total = services.stream().mapToDouble(WeightedService::weight).sum();
		double point = total * Math.floorMod(mix(key.hashCode()), STEPS) / STEPS;
		for (WeightedService service : services) {
			point -= service.weight();
			if (point < 0) {
				return service.service();
			}
		}
		return services.get(0).service();
	}

	private static int mix(int hash) {
		int mixed = (hash ^ (hash >>> 16)) * 0x85ebca6b;
		return mixed ^ (mixed >>> 13);
	}

}
