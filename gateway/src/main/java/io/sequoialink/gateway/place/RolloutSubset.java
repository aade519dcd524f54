package io.sequoialink.gateway.place;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Selects the servers of a roll-out's target version that receive its share of the
 * requests. Stateless.
 *
 * <p>
 * A small share is sent to an equally small subset of the servers, the same one on all
 * hosts. Each of them then carries the load that it would carry if all requests went to
 * the target version, so that a fault that shows only under load appears while few
 * requests are exposed to it.
 */
final class RolloutSubset {

	/**
	 * The subset's share of the servers is this many times the target version's share of
	 * the requests, so that one server that is slow because of a long prompt does not
	 * count as a slow version.
	 */
	private static final double OVERSAMPLING = 1.5;

	private RolloutSubset() {
	}

	/**
	 * Returns the subset of the target version's servers that receives requests.
	 * @param servers all servers of the target version
	 * @param share share of the requests for the target version, from 0 to 1
	 * @return the subset, in proportion to the share; at least one server if there are
	 * any
	 */
	static List<ServerState> of(List<ServerState> servers, double share) {
		int count = (int) Math.ceil(OVERSAMPLING * share * servers.size());
		if (servers.isEmpty() || count >= servers.size()) {
			return servers;
		}
		List<ServerState> ordered = new ArrayList<>(servers);
		ordered.sort(Comparator.comparingLong(RolloutSubset::idHash));
		return ordered.subList(0, Math.max(1, count));
	}

	private static long idHash(ServerState server) {
		return Hashing.wyhashFinal4().hashStream().putString(server.entry().id()).getAsLong();
	}

}
