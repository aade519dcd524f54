package io.sequoialink.gateway.place;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Which servers of a new version get its share of the requests. Stateless.
 *
 * <p>
 * A small share is given to as small a part of the servers, the same one on all hosts, so
 * that each of these has the load that it would have if all requests came to the new
 * version: what fails only under load is seen while few requests are exposed to it.
 */
final class TrialServers {

	/**
	 * More servers than the share alone asks for, so that one server's long prompt is not
	 * taken for the version's.
	 */
	private static final double SPREAD = 1.5;

	private TrialServers() {
	}

	/**
	 * Returns the servers on trial.
	 * @param servers all servers of the new version
	 * @param share share of the requests for the new version, from 0 to 1
	 * @return as large a part of the servers, at least one if there are any
	 */
	static List<ServerState> of(List<ServerState> servers, double share) {
		int count = (int) Math.ceil(SPREAD * share * servers.size());
		if (servers.isEmpty() || count >= servers.size()) {
			return servers;
		}
		List<ServerState> ordered = new ArrayList<>(servers);
		ordered.sort(Comparator.comparingLong(TrialServers::place));
		return ordered.subList(0, Math.max(1, count));
	}

	private static long place(ServerState server) {
		return Hashing.wyhashFinal4().hashStream().putString(server.entry().id()).getAsLong();
	}

}
