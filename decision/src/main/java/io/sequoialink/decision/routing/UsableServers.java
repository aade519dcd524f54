package io.sequoialink.decision.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

import io.sequoialink.decision.ServerView;
import io.sequoialink.model.ServerId;

/**
 * Narrows servers to those that may be chosen. Stateless and thread-safe.
 */
final class UsableServers {

	private UsableServers() {
	}

	/**
	 * Returns the servers to choose from: never one that is leaving; neither an avoided
	 * nor an ejected one as long as another is there, and rather an ejected one than an
	 * avoided one.
	 * @param servers the servers that offer the version
	 * @param avoided servers that earlier attempts used
	 * @return the usable servers; empty if all are leaving
	 */
	static List<ServerView> of(List<ServerView> servers, Set<ServerId> avoided) {
		List<ServerView> staying = matching(servers, (view) -> !view.server().leaving());
		List<ServerView> fresh = matching(staying, (view) -> !avoided.contains(view.server().id()));
		List<ServerView> offered = fresh.isEmpty() ? staying : fresh;
		List<ServerView> sound = matching(offered, (view) -> !view.ejected());
		return sound.isEmpty() ? offered : sound;
	}

	private static List<ServerView> matching(List<ServerView> servers, Predicate<ServerView> test) {
		List<ServerView> matching = new ArrayList<>(servers.size());
		for (ServerView view : servers) {
			if (test.test(view)) {
				matching.add(view);
			}
		}
		return matching;
	}

}
