package io.sequoialink.gateway.feed;

import java.util.ArrayList;
import java.util.List;

/**
 * Lets the followers of one store know of its return, so that only one of them needs to
 * ask often while it is away. Confined to the event loop.
 */
public final class StoreWatch {

	private final List<TopicFollower> followers = new ArrayList<>();

	void join(TopicFollower follower) {
		this.followers.add(follower);
	}

	/**
	 * Notes that a follower has read again after an outage.
	 * @param first the follower
	 */
	void returned(TopicFollower first) {
		for (TopicFollower follower : this.followers) {
			if (follower != first) {
				follower.readNow();
			}
		}
	}

}
