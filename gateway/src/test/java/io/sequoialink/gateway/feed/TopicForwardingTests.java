package io.sequoialink.gateway.feed;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** A follower that reads for other hosts, or for which another reads. */
class TopicForwardingTests extends FollowedTopic {

	@Test
	void readsAreForwardedWithoutUnchangedRecords() {
		this.topic.put("a", "1");
		this.follower.start();
		this.topic.put("a", "1");
		assertThat(this.forwarded).containsExactly(shared(1, 2, true));
		runScheduled();
		this.topic.put("a", "2");
		assertThat(this.forwarded.get(1).from()).isEqualTo(2);
		assertThat(this.forwarded.get(1).changedRecords()).extracting(KeyedRecord::offset).containsExactly(2L);
	}

	@Test
	void theStoreIsNotPolledWhileAnotherHostForwardsRecentReads() {
		this.follower.start();
		this.anotherReads = true;
		this.topic.put("a", "1");
		int calls = this.topic.reads();
		this.now += 1_000_000_000L;
		runScheduled();
		assertThat(this.topic.reads()).isEqualTo(calls);
		this.follower.forwarded(shared(1, 2, true, record("b", "2", 1)));
		assertThat(this.seen).containsEntry("b", "2");
		this.now += 1_500_000_000L;
		runScheduled();
		assertThat(this.topic.reads()).isEqualTo(calls);
		this.now += 500_000_000L;
		runScheduled();
		assertThat(this.topic.reads()).isEqualTo(calls + 1);
	}

	@ParameterizedTest
	@CsvSource({ "2,true", "1,false" })
	void aMissingOrIncompleteBatchIsReadFromTheStore(long from, boolean whole) {
		this.follower.start();
		this.anotherReads = true;
		this.topic.put("a", "1");
		runScheduled();
		this.topic.put("b", "2");
		int calls = this.topic.reads();
		this.follower.forwarded(shared(from, 3, whole));
		runScheduled();
		assertThat(this.topic.reads()).isEqualTo(calls + 1);
		assertThat(this.seen).containsEntry("b", "2");
	}

	// The datagrams of one read may overtake each other; before, every host then read the
	// store itself.
	@Test
	void batchesThatArriveOutOfOrderAreAppliedWithoutACall() {
		this.follower.start();
		this.anotherReads = true;
		this.topic.put("a", "0");
		int calls = this.topic.reads();
		this.follower.forwarded(shared(3, 4, true, record("a", "3", 3)));
		this.follower.forwarded(shared(2, 3, true, record("b", "2", 2)));
		assertThat(this.seen).containsEntry("a", "0");
		this.follower.forwarded(shared(1, 2, true, record("a", "1", 1)));
		assertThat(this.seen).containsEntry("a", "3").containsEntry("b", "2");
		runScheduled();
		assertThat(this.topic.reads()).isEqualTo(calls);
	}

	@Test
	void anOutdatedBatchChangesNothing() {
		this.topic.put("a", "1");
		this.topic.put("a", "2");
		this.follower.start();
		this.follower.forwarded(shared(0, 1, true, record("a", "1", 0)));
		assertThat(this.seen).containsEntry("a", "2");
		assertThat(this.follower.nextOffset()).isEqualTo(2);
	}

	@Test
	void aHostThatTheStoreRejectsAppliesForwardedBatches() {
		this.follower.start();
		this.topic.down(true);
		this.anotherReads = true;
		this.follower.forwarded(shared(0, 1, true, record("a", "1", 0)));
		assertThat(this.seen).containsEntry("a", "1");
		assertThat(this.recoveries).isEqualTo(1);
	}

	// Guards against the incident CONFIG, second cause: a reader forwarded a range as
	// complete that lacked a record which it knew already from a page of its snapshot.
	@Test
	void aRecordThatThePagesHadBeyondTheirEndIsForwarded() {
		this.topic.pageSize(1);
		this.topic.put("a", "1");
		this.topic.put("config", "1");
		this.topic.beforeNextPage(() -> this.topic.put("config", "2"));
		this.follower.start();
		assertThat(this.seen).containsEntry("config", "2");
		assertThat(this.forwarded).hasSize(1);
		assertThat(this.forwarded.get(0).from()).isEqualTo(2);
		assertThat(this.forwarded.get(0).changedRecords()).extracting(KeyedRecord::offset).containsExactly(2L);
	}

	// Guards against readers of two eras side by side (CONFIG): offsets of one mean
	// nothing in the other.
	@Test
	void aBatchOfAnEarlierEraIsIgnoredAndOneOfALaterEraMakesTheHostRead() {
		putMany(1, 3);
		this.follower.start();
		this.anotherReads = true;
		this.topic.returnFromCopy(1);
		this.topic.put("config", "4");
		int calls = this.topic.reads();
		this.follower.forwarded(new ForwardedBatch("fake", 2, 1, 2, List.of(), true));
		runScheduled();
		assertThat(this.seen).containsEntry("config", "4");
		assertThat(this.topic.reads()).isGreaterThanOrEqualTo(calls);
		this.follower.forwarded(shared(2, 9, true, record("config", "old", 8)));
		assertThat(this.seen).containsEntry("config", "4");
		assertThat(this.follower.nextOffset()).isEqualTo(2);
	}

	// Guards against the incident CONFIG, third cause: a host kept a call that had been
	// sent in an outage, although another host had read newer records meanwhile.
	@Test
	void aCallThatHangsIsMadeAgainWhenAnotherHostHasReadMore() {
		this.topic.put("a", "1");
		this.topic.abortsCallsOf(this.topic);
		this.follower.start();
		this.topic.leaveWaitingUnanswered();
		this.topic.put("a", "2");
		this.follower.forwarded(shared(1, 2, false));
		assertThat(this.seen).containsEntry("a", "1");
		assertThat(this.delays).contains(TopicFollower.OVERTAKEN_CALL_MILLIS);
		runScheduled();
		runScheduled();
		assertThat(this.seen).containsEntry("a", "2");
	}

	// Guards against a store that is slow and whose calls are all made again before they
	// return, while changes come in quick succession.
	@Test
	void aCallIsMadeAgainOnlyOnceUntilOneSucceeds() {
		this.topic.put("a", "1");
		this.topic.abortsCallsOf(this.topic);
		this.follower.start();
		for (int change = 2; change < 6; change++) {
			this.topic.leaveWaitingUnanswered();
			this.now += 1_000_000L;
			this.follower.forwarded(shared(1, change, false));
			int calls = this.topic.reads();
			runScheduled();
			runScheduled();
			assertThat(this.topic.reads() - calls).isEqualTo((change == 2) ? 1 : 0);
		}
	}

	// The same for a host that learns the end of an outage by a forwarded read.
	@Test
	void aForwardedReadThatEndsAnOutageMakesWaitingCallsOfOtherTopicsAgain() {
		FakeTopic other = new FakeTopic();
		this.topic.abortsCallsOf(other);
		other.put("x", "1");
		new TopicFollower(other, new Sink(), () -> new PollingSettings(100, 100, 0, 100, 100, 100), this::schedule,
				() -> this.now, this.availability, ReadForwarding.NONE)
			.start();
		this.follower.start();
		other.leaveWaitingUnanswered();
		other.put("x", "2");
		this.topic.down(true);
		this.anotherReads = true;
		this.follower.forwarded(shared(0, 1, true, record("a", "1", 0)));
		runScheduled();
		assertThat(this.seen).containsEntry("x", "2");
	}

}
