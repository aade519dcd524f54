package io.sequoialink.gateway.feed;

import java.util.ArrayList;
import java.util.List;

import io.sequoialink.gateway.count.LabelledCounters;

/**
 * Notifies the followers of one store when it is available again after an outage, so that
 * it is enough if one of them retries often. Confined to the event loop.
 */
public final class StoreAvailability {

	private final List<TopicFollower> followers = new ArrayList<>();

	private final LabelledCounters calls;

	private final LabelledCounters forwarded;

	private long respondedAt;

	private boolean everResponded;

	/**
	 * Creates an instance to which no follower has been added yet.
	 * @param calls counter of calls to the store by topic and outcome
	 * @param forwarded counter of batches forwarded by other hosts, by topic and outcome
	 */
	public StoreAvailability(LabelledCounters calls, LabelledCounters forwarded) {
		this.calls = calls;
		this.forwarded = forwarded;
	}

	void countCall(String topic, String outcome) {
		this.calls.increment(topic, outcome);
	}

	void countForwarded(String topic, String outcome) {
		this.forwarded.increment(topic, outcome);
	}

	void responded(long nowNanos) {
		this.respondedAt = nowNanos;
		this.everResponded = true;
	}

	/**
	 * Returns whether the store has responded to any follower since a given time.
	 * @param sinceNanos monotonic time
	 * @return whether the store can be reached again
	 */
	boolean respondedSince(long sinceNanos) {
		return this.everResponded && this.respondedAt - sinceNanos > 0;
	}

	void register(TopicFollower follower) {
		this.followers.add(follower);
	}

	/**
	 * Called when a follower could read again after an outage; all others then poll at
	 * once.
	 * @param first the follower
	 */
	void recovered(TopicFollower first) {
		for (TopicFollower follower : this.followers) {
			if (follower != first) {
				follower.pollNow();
			}
		}
	}

}
