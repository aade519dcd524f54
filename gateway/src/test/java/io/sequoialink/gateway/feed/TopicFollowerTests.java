package io.sequoialink.gateway.feed;

import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class TopicFollowerTests extends FollowedTopic {

	@Test
	void existingAndLaterRecordsAreDelivered() {
		this.topic.put("a", "1");
		this.topic.put("a", "2");
		this.follower.start();
		assertThat(this.seen).containsExactly(Map.entry("a", "2"));
		assertThat(this.follower.initialized()).isTrue();
		this.topic.put("b", "3");
		assertThat(this.seen).containsEntry("b", "3");
	}

	@ParameterizedTest
	@ValueSource(strings = { "broken", "deep" })
	void aRecordOnWhichTheSinkFailsIsSkippedAndLaterOnesAreDelivered(String key) {
		this.topic.put(key, "1");
		this.topic.put("a", "2");
		this.follower.start();
		assertThat(this.seen).containsExactly(Map.entry("a", "2"));
		this.topic.put(key, "3");
		this.topic.put("b", "4");
		for (int i = 0; i < 5 && !this.scheduled.isEmpty(); i++) {
			this.scheduled.poll().run();
		}
		assertThat(this.seen).containsEntry("b", "4");
	}

	// Guards against a follower that reads no more because the sink failed on a key that
	// the store no longer has.
	@Test
	void aDeletionOnWhichTheSinkFailsIsSkippedAndLaterRecordsAreDelivered() {
		this.topic.put("broken", "1");
		this.follower.start();
		this.topic.down(true);
		this.topic.put("broken", "");
		this.topic.put("a", "2");
		this.topic.loseHistory();
		this.topic.down(false);
		runScheduled();
		this.topic.put("b", "3");
		runScheduled();
		assertThat(this.seen).containsEntry("a", "2").containsEntry("b", "3");
	}

	@Test
	void allPagesAreRead() {
		this.topic.pageSize(2);
		for (int i = 0; i < 7; i++) {
			this.topic.put("k" + i, "v" + i);
		}
		this.follower.start();
		assertThat(this.seen).hasSize(7);
	}

	@Test
	void aDeletedKeyIsDeliveredAsDeleted() {
		this.topic.put("a", "1");
		this.follower.start();
		this.topic.put("a", "");
		assertThat(this.seen).isEmpty();
	}

	@Test
	void stateIsKeptDuringAnOutageAndMissedRecordsFollow() {
		this.topic.put("a", "1");
		this.follower.start();
		this.topic.down(true);
		assertThat(this.seen).containsEntry("a", "1");
		assertThat(this.follower.availableNanos()).isEmpty();
		this.topic.put("a", "2");
		this.topic.put("b", "3");
		this.topic.down(false);
		runScheduled();
		assertThat(this.seen).containsEntry("a", "2").containsEntry("b", "3");
		assertThat(this.recoveries).isEqualTo(1);
	}

	@Test
	void theFirstReadIsRetriedWhileTheStoreIsDown() {
		this.topic.put("a", "1");
		this.topic.down(true);
		this.follower.start();
		assertThat(this.follower.initialized()).isFalse();
		this.topic.down(false);
		runScheduled();
		assertThat(this.seen).containsEntry("a", "1");
	}

	// The log reported an outage as long as the uptime of the machine.
	@Test
	void theAgeCountsFromTheStartBeforeTheFirstRead() {
		this.now = 5_000_000_000L;
		this.follower.start();
		this.now += 7;
		assertThat(this.follower.ageNanos()).isEqualTo(7);
	}

	// Hosts that waited for a topic which did not exist yet never received its first
	// records.
	@Test
	void thePollTimeoutIsShortWhileTheTopicIsEmpty() {
		this.follower.start();
		assertThat(this.topic.lastPollTimeout()).isEqualTo(200);
		this.topic.put("a", "1");
		runScheduled();
		assertThat(this.topic.lastPollTimeout()).isEqualTo(1000);
	}

	@ParameterizedTest
	@CsvSource({ "0,100", "60,40", "100,0", "900,0" })
	void theDurationOfACallCountsTowardsThePollInterval(long waitedMillis, long pauseMillis) {
		this.follower.start();
		this.now += waitedMillis * 1_000_000L;
		this.topic.put("a", "1");
		assertThat(this.delays).containsExactly(pauseMillis);
	}

	@Test
	void afterALossOfHistoryTheSnapshotIsReadAndMissingKeysAreDeleted() {
		this.topic.put("a", "1");
		this.topic.put("b", "2");
		this.follower.start();
		this.topic.down(true);
		this.topic.put("a", "");
		this.topic.put("c", "3");
		this.topic.loseHistory();
		this.topic.down(false);
		runScheduled();
		assertThat(this.seen).containsOnlyKeys("b", "c");
	}

	// In a fleet of 65 hosts, a host that the store had rejected for a while kept waiting
	// for a call that was never answered, and received a configuration seconds late.
	@Test
	void aCallThatHangsSinceAnOutageIsRepeatedOnceAnotherTopicCanBeRead() {
		this.topic.put("a", "1");
		this.follower.start();
		FakeTopic rejecting = new FakeTopic();
		rejecting.abortsCallsOf(this.topic);
		new TopicFollower(rejecting, new Sink(), () -> new PollingSettings(100, 100, 100, 100, 100, 100),
				this::schedule, () -> 1L, this.availability, ReadForwarding.NONE)
			.start();
		this.topic.leaveWaitingUnanswered();
		rejecting.down(true);
		this.topic.put("a", "2");
		rejecting.down(false);
		rejecting.put("x", "1");
		runScheduled();
		runScheduled();
		assertThat(this.seen).containsEntry("a", "2");
	}

	@Test
	void thePollTimeoutIsShortForAWhileAfterAnOutage() {
		this.topic.put("before", "1");
		this.follower.start();
		assertThat(this.topic.lastPollTimeout()).isEqualTo(1000);
		this.topic.down(true);
		this.topic.down(false);
		this.topic.put("a", "1");
		runScheduled();
		runScheduled();
		assertThat(this.topic.lastPollTimeout()).isEqualTo(200);
		this.now += TopicFollower.SHORT_POLL_NANOS;
		this.topic.put("a", "2");
		runScheduled();
		assertThat(this.topic.lastPollTimeout()).isEqualTo(1000);
	}

	// 65 hosts with three topics each made several thousand calls in an outage of 5 s.
	@Test
	void theRetryDelayGrowsDuringAnOutage() {
		this.follower.start();
		this.topic.down(true);
		for (int i = 0; i < 4; i++) {
			runScheduled();
		}
		assertThat(this.delays).containsExactly(100L, 200L, 350L, 350L, 350L);
	}

	@Test
	void aDelayedRetryIsMadeAtOnceWhenAnotherTopicCanBeRead() {
		this.follower.start();
		FakeTopic other = new FakeTopic();
		new TopicFollower(other, new Sink(), () -> new PollingSettings(100, 100, 100, 100, 100, 100), this::schedule,
				() -> 1L, this.availability, ReadForwarding.NONE)
			.start();
		this.topic.down(true);
		other.down(true);
		this.topic.put("a", "1");
		this.topic.down(false);
		other.down(false);
		other.put("x", "1");
		this.scheduled.removeLast().run();
		assertThat(this.seen).containsEntry("a", "1");
		runScheduled();
		assertThat(this.recoveries).isEqualTo(2);
	}

	// After a host had been cut off, one topic could be read again while an earlier call
	// for another topic still hung; that topic was then not polled for another 2 s.
	@Test
	void aCallThatFailsAfterTheStoreRespondedForAnotherTopicIsRetriedSoon() {
		FakeTopic other = new FakeTopic();
		new TopicFollower(other, new Sink(), () -> new PollingSettings(100, 100, 0, 100, 100, 100), this::schedule,
				() -> this.now, this.availability, ReadForwarding.NONE)
			.start();
		this.follower.start();
		this.topic.down(true);
		runScheduled();
		runScheduled();
		assertThat(this.delays).endsWith(350L);
		this.topic.down(false);
		runScheduled();
		this.now += 5;
		other.put("x", "1");
		this.topic.down(true);
		assertThat(this.delays).endsWith(100L);
	}

}
