package io.sequoialink.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.sequoialink.gateway.feed.FleetUpdates;
import io.sequoialink.gateway.feed.FollowPace;
import io.sequoialink.gateway.feed.LoopTimer;
import io.sequoialink.gateway.feed.ReadSharing;
import io.sequoialink.gateway.feed.RecordSink;
import io.sequoialink.gateway.feed.SharedRead;
import io.sequoialink.gateway.feed.StoreWatch;
import io.sequoialink.gateway.feed.TopicFollower;
import io.sequoialink.platform.OperatorRecordHandler;
import io.sequoialink.platform.ServerRecordHandler;
import io.sequoialink.platform.StatusRecords;
import io.sequoialink.platform.StoreConnectionPool;
import io.sequoialink.platform.StoreTopic;

/**
 * What a host reads of the platform's store, and how often: each call is paid for, and
 * times to notice a change are bounds. Confined to the event loop.
 */
final class StoreReading {

	/** Pause after a call to the store that failed, in milliseconds. */
	private static final int RETRY_MILLIS = 300;

	/**
	 * Part of the time in which a configuration must be in force that the store may wait
	 * for one: a call that was made while the store was slow may bring nothing.
	 */
	private static final double APPLY_PART = 0.7;

	/**
	 * How long the store may wait for servers, in milliseconds; short beside the pause,
	 * so that hosts which are told of each read need not read beside it.
	 */
	private static final int SERVERS_WAIT_MILLIS = 100;

	/**
	 * Part of the time in which a leaving server must be noticed that may pass between
	 * two reads.
	 */
	private static final double LEAVING_PART = 0.7;

	/**
	 * Longest such pause of the topic that is read most often; the others hear of the
	 * store's return from it.
	 */
	private static final int SERVERS_RETRY_MILLIS = 600;

	private static final int LONGEST_RETRY_MILLIS = 2400;

	/**
	 * All hosts publish while a roll-out is under way and after crashes, so each reads
	 * what came together in a while instead of one record after the other. After a failed
	 * call it asks again soon: a host that starts is not ready before it knows what was
	 * decided.
	 */
	private static final FollowPace ROLLOUT_PACE = new FollowPace(1000, 1000, 1500, RETRY_MILLIS, SERVERS_RETRY_MILLIS,
			2800);

	/**
	 * At other times hosts publish nothing but crashes that this host did not see.
	 */
	private static final FollowPace CRASH_PACE = new FollowPace(20_000, 2000, 1000, RETRY_MILLIS, LONGEST_RETRY_MILLIS,
			30_000);

	/**
	 * Part of a bound that what a host knows may be old while another reads for it; what
	 * is left of the bound is for its own call.
	 */
	private static final double MAX_AGE_PART = 0.8;

	private final StoreConnectionPool store;

	private final FleetUpdates updates;

	private final StatusRecords statuses;

	private final BooleanSupplier publishing;

	private final LoopTimer timer;

	private final StoreWatch watch;

	private final ReadSharing sharing;

	private final Map<String, TopicFollower> followers = new HashMap<>();

	/**
	 * Creates a reading that has not begun.
	 * @param store connections to the store
	 * @param updates takes what operator and servers wrote
	 * @param statuses takes what hosts published
	 * @param publishing whether what hosts publish matters now
	 * @param timer runs work later
	 * @param watch lets the followers know of the store's return
	 * @param sharing lets hosts read for one another
	 */
	StoreReading(StoreConnectionPool store, FleetUpdates updates, StatusRecords statuses, BooleanSupplier publishing,
			LoopTimer timer, StoreWatch watch, ReadSharing sharing) {
		this.store = store;
		this.updates = updates;
		this.statuses = statuses;
		this.publishing = publishing;
		this.timer = timer;
		this.watch = watch;
		this.sharing = sharing;
	}

	/**
	 * Begins to read.
	 * @param bounds times within which changes must be noticed
	 */
	void start(EntrySettings.Bounds bounds) {
		int wait = (int) (APPLY_PART * bounds.applyMillis());
		FollowPace operator = new FollowPace(wait, wait, 0, RETRY_MILLIS, LONGEST_RETRY_MILLIS,
				(int) (MAX_AGE_PART * bounds.applyMillis()));
		follow(StoreTopic.operator(this.store), new OperatorRecordHandler(this.updates), () -> operator);
		int pause = (int) (LEAVING_PART * bounds.leavingMillis());
		FollowPace servers = new FollowPace(SERVERS_WAIT_MILLIS, SERVERS_WAIT_MILLIS, pause, RETRY_MILLIS,
				SERVERS_RETRY_MILLIS, (int) (MAX_AGE_PART * bounds.leavingMillis()));
		follow(StoreTopic.servers(this.store), new ServerRecordHandler(this.updates), () -> servers);
		TopicFollower published = follow(StoreTopic.statuses(this.store), this.statuses,
				() -> statusPace(this.publishing.getAsBoolean()));
		this.statuses.setImmediateRead(published::readNow);
	}

	/**
	 * Returns how often what hosts published is read.
	 * @param publishing whether a roll-out is under way or a server crashed of late
	 * @return the pace
	 */
	static FollowPace statusPace(boolean publishing) {
		return publishing ? ROLLOUT_PACE : CRASH_PACE;
	}

	/**
	 * Takes what another host read.
	 * @param read what it read
	 */
	void shared(SharedRead read) {
		TopicFollower follower = this.followers.get(read.topic());
		if (follower != null) {
			follower.shared(read);
		}
	}

	private TopicFollower follow(StoreTopic topic, RecordSink sink, Supplier<FollowPace> pace) {
		TopicFollower follower = new TopicFollower(topic, sink, pace, this.timer, System::nanoTime, this.watch,
				this.sharing);
		this.followers.put(topic.name(), follower);
		follower.start();
		return follower;
	}

}
