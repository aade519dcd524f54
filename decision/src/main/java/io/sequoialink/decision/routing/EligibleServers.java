package io.sequoialink.decision.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

import io.sequoialink.decision.ServerView;
import io.sequoialink.model.ServerId;

/**
 * Filters the servers that a policy may choose from. Stateless and thread-safe.
 */
final class EligibleServers {

	private EligibleServers() {
	}

	/**
	 * Returns the servers to choose from. Servers that are shutting down are never among
	 * them. Avoided servers (used by earlier attempts of the request) and ejected servers
	 * (taken out after consecutive failures) are left out as long as other servers
	 * remain; ejected servers are preferred to avoided ones.
	 * @param servers the servers that offer the version
	 * @param avoided servers that earlier attempts of the request used
	 * @return the eligible servers; empty if all servers are shutting down
	 */
	static List<ServerView> of(List<ServerView> servers, Set<ServerId> avoided) {
		List<ServerView> active = filter(servers, (view) -> !view.server().leaving());
		List<ServerView> untried = filter(active, (view) -> !avoided.contains(view.server().id()));
		List<ServerView> preferred = untried.isEmpty() ? active : untried;
		List<ServerView> notEjected = filter(preferred, (view) -> !view.ejected());
		return notEjected.isEmpty() ? preferred : notEjected;
	}

	private static List<ServerView> filter(List<ServerView> servers, Predicate<ServerView> test) {
		List<ServerView> matching = new ArrayList<>(servers.size());
		for (ServerView view : servers) {
			if (test.test(view)) {
				matching.add(view);
			}
		}
		return matching;
	}

}
