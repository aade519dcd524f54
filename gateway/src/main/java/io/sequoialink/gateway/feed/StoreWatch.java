package io.sequoialink.gateway.feed;

import java.util.ArrayList;
import java.util.List;

import io.sequoialink.gateway.count.LabelledCounts;

/**
 * Lets the followers of one store know of its return, so that only one of them needs to
 * ask often while it is away. Confined to the event loop.
 */
public final class StoreWatch {

	private final List<TopicFollower> followers = new ArrayList<>();

	private final LabelledCounts calls;

	private final LabelledCounts told;

	private long answeredAt;

	private boolean answeredOnce;

	/**
	 * Creates a watch without followers.
	 * @param calls counts calls by topic and outcome
	 * @param told counts stretches that other hosts told of, by topic and outcome
	 */
	public StoreWatch(LabelledCounts calls, LabelledCounts told) {
		this.calls = calls;
		this.told = told;
	}

	void called(String topic, String outcome) {
		this.calls.add(topic, outcome);
	}

	void told(String topic, String outcome) {
		this.told.add(topic, outcome);
	}

	void answered(long nowNanos) {
		this.answeredAt = nowNanos;
		this.answeredOnce = true;
	}

	/**
	 * Returns whether the store has answered any follower since a moment.
	 * @param sinceNanos monotonic time
	 * @return whether it can be reached by now
	 */
	boolean answeredSince(long sinceNanos) {
		return this.answeredOnce && this.answeredAt - sinceNanos > 0;
	}

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
