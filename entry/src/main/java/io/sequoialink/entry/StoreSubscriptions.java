package io.sequoialink.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.sequoialink.gateway.feed.EventLoopTimer;
import io.sequoialink.gateway.feed.FleetViewUpdater;
import io.sequoialink.gateway.feed.ForwardedBatch;
import io.sequoialink.gateway.feed.PollingSettings;
import io.sequoialink.gateway.feed.ReadForwarding;
import io.sequoialink.gateway.feed.RecordSink;
import io.sequoialink.gateway.feed.StoreAvailability;
import io.sequoialink.gateway.feed.StoreEras;
import io.sequoialink.gateway.feed.TopicFollower;
import io.sequoialink.platform.OperatorRecordHandler;
import io.sequoialink.platform.ServerRecordHandler;
import io.sequoialink.platform.StatusRecords;
import io.sequoialink.platform.StoreConnectionPool;
import io.sequoialink.platform.StoreTopic;

/**
 * Follows the three topics of the platform's store and sets how often each is read. Fewer
 * reads are better, since the platform charges for each call, but changes must be noticed
 * within the bounds of the settings. Confined to the event loop.
 */
final class StoreSubscriptions {

	/**
	 * Pause after the first failed call to the store, in milliseconds; it doubles with
	 * each further failure.
	 */
	private static final int FIRST_RETRY_MILLIS = 300;

	/**
	 * Longest wait of a read of the operator's topic, as a fraction of the time within
	 * which a configuration must take effect. It is below 1 because a read made while the
	 * store is slow may return nothing, and the next read must still be in time.
	 */
	private static final double OPERATOR_WAIT_FRACTION = 0.7;

	/**
	 * Time within which the evacuation of a zone must take effect, in milliseconds; the
	 * operator's topic is read as often as the shorter of the two bounds demands.
	 */
	private static final long EVACUATION_MILLIS = 5000;

	/**
	 * Longest wait of a read of the servers' topic, in milliseconds. It is short compared
	 * to the pause between reads, so that hosts which receive the results from another
	 * host do not need to read as well.
	 */
	private static final int SERVERS_WAIT_MILLIS = 100;

	/**
	 * Pause between two reads of the servers' topic, as a fraction of the time within
	 * which the shutdown of a server must be noticed.
	 */
	private static final double SERVERS_PAUSE_FRACTION = 0.7;

	/**
	 * Longest pause after failed calls for the topic that is read most often, in
	 * milliseconds. Its follower notices the end of a store outage first and makes the
	 * others read.
	 */
	private static final int SERVERS_MAX_RETRY_MILLIS = 600;

	private static final int MAX_RETRY_MILLIS = 2400;

	/**
	 * Polling settings of the status topic (the records that hosts publish) during a
	 * roll-out and after crashes. All hosts publish then, so each host pauses between
	 * reads and receives many records at once instead of one per call. Retries after
	 * failed calls are frequent, because a starting host is not ready until it has read
	 * the state of the roll-out.
	 */
	private static final PollingSettings ACTIVE_STATUS_POLLING = new PollingSettings(1000, 1000, 1500,
			FIRST_RETRY_MILLIS, SERVERS_MAX_RETRY_MILLIS, 2800);

	/**
	 * Polling settings of the status topic at other times, when its only new records are
	 * crash reports of other hosts.
	 */
	private static final PollingSettings IDLE_STATUS_POLLING = new PollingSettings(20_000, 2000, 1000,
			FIRST_RETRY_MILLIS, MAX_RETRY_MILLIS, 30_000);

	/**
	 * Greatest age of data that another host read for this one, as a fraction of the
	 * bound for noticing changes. Once the data is older, this host reads the store
	 * itself within the rest of the bound.
	 */
	private static final double MAX_AGE_FRACTION = 0.8;

	private final StoreConnectionPool store;

	private final StoreEras eras;

	private final FleetViewUpdater updates;

	private final StatusRecords statuses;

	private final BooleanSupplier statusesAreActive;

	private final EventLoopTimer timer;

	private final StoreAvailability storeAvailability;

	private final ReadForwarding readForwarding;

	private final Map<String, TopicFollower> followers = new HashMap<>();

	/**
	 * Creates the subscriptions; {@link #start} starts reading.
	 * @param store connections to the store
	 * @param eras tracks the era of the store
	 * @param updates receives the records of operator and servers
	 * @param statuses receives the records that hosts publish
	 * @param statusesAreActive whether a roll-out is under way or this host recently saw
	 * a crash
	 * @param timer schedules delayed tasks
	 * @param storeAvailability notifies the followers of the end of a store outage
	 * @param readForwarding exchanges the results of reads with other hosts
	 */
	StoreSubscriptions(StoreConnectionPool store, StoreEras eras, FleetViewUpdater updates, StatusRecords statuses,
			BooleanSupplier statusesAreActive, EventLoopTimer timer, StoreAvailability storeAvailability,
			ReadForwarding readForwarding) {
		this.store = store;
		this.eras = eras;
		this.updates = updates;
		this.statuses = statuses;
		this.statusesAreActive = statusesAreActive;
		this.timer = timer;
		this.storeAvailability = storeAvailability;
		this.readForwarding = readForwarding;
	}

	/**
	 * Starts reading all topics.
	 * @param bounds time limits within which changes must be noticed
	 */
	void start(EntrySettings.Bounds bounds) {
		long operatorBound = Math.min(bounds.applyMillis(), EVACUATION_MILLIS);
		int wait = (int) (OPERATOR_WAIT_FRACTION * operatorBound);
		PollingSettings operator = new PollingSettings(wait, wait, 0, FIRST_RETRY_MILLIS, MAX_RETRY_MILLIS,
				(int) (MAX_AGE_FRACTION * operatorBound));
		follow(StoreTopic.operator(this.store, this.eras), new OperatorRecordHandler(this.updates), () -> operator);
		int pause = (int) (SERVERS_PAUSE_FRACTION * bounds.leavingMillis());
		PollingSettings servers = new PollingSettings(SERVERS_WAIT_MILLIS, SERVERS_WAIT_MILLIS, pause,
				FIRST_RETRY_MILLIS, SERVERS_MAX_RETRY_MILLIS, (int) (MAX_AGE_FRACTION * bounds.leavingMillis()));
		follow(StoreTopic.servers(this.store, this.eras), new ServerRecordHandler(this.updates), () -> servers);
		TopicFollower statusFollower = follow(StoreTopic.statuses(this.store, this.eras), this.statuses,
				() -> statusPolling(this.statusesAreActive.getAsBoolean()));
		this.statuses.setImmediateRead(statusFollower::pollNow);
		this.eras.onChange(this::readAllAgain);
	}

	// Calls that wait since before the store returned may never be answered.
	private void readAllAgain() {
		this.store.cancelReads();
		this.followers.values().forEach(TopicFollower::pollNow);
	}

	/**
	 * Returns the polling settings of the status topic.
	 * @param active whether a roll-out is under way or this host recently saw a crash
	 * @return intervals, wait time and retry delays of the reads
	 */
	static PollingSettings statusPolling(boolean active) {
		return active ? ACTIVE_STATUS_POLLING : IDLE_STATUS_POLLING;
	}

	/**
	 * Applies the result of a read that another host made and sent to this one.
	 * @param read the records, a contiguous range of one topic
	 */
	void receiveForwardedRead(ForwardedBatch read) {
		TopicFollower follower = this.followers.get(read.topic());
		if (follower != null) {
			follower.forwarded(read);
		}
	}

	private TopicFollower follow(StoreTopic topic, RecordSink sink, Supplier<PollingSettings> polling) {
		TopicFollower follower = new TopicFollower(topic, sink, polling, this.timer, System::nanoTime,
				this.storeAvailability, this.readForwarding);
		this.followers.put(topic.name(), follower);
		follower.start();
		return follower;
	}

}
