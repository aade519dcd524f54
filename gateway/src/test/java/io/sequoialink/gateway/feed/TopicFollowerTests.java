package io.sequoialink.gateway.feed;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.sequoialink.gateway.count.LabelledCounters;
import io.sequoialink.gateway.fleet.StorePosition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class TopicFollowerTests {

	private final FakeTopic topic = new FakeTopic();

	private final Map<String, String> seen = new HashMap<>();

	private final Deque<Runnable> scheduled = new ArrayDeque<>();

	private int recoveries;

	private int returns;

	private final List<ReadPath> paths = new ArrayList<>();

	private long now = 1;

	private final StoreAvailability availability = new StoreAvailability(new LabelledCounters("topic", "outcome"),
			new LabelledCounters("topic", "outcome"));

	private final List<Long> delays = new ArrayList<>();

	private boolean anotherReads;

	private final List<ForwardedBatch> forwarded = new ArrayList<>();

	private final ReadForwarding forwarding = new ReadForwarding() {
		@Override
		public boolean anotherHostReads() {
			return TopicFollowerTests.this.anotherReads;
		}

		@Override
		public void forward(ForwardedBatch read) {
			TopicFollowerTests.this.forwarded.add(read);
		}
	};

	private final TopicFollower follower = new TopicFollower(this.topic, new Sink(),
			() -> new PollingSettings(1000, 200, 100, 100, 350, 2000), this::schedule, () -> this.now,
			this.availability, this.forwarding);

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

	private static KeyedRecord record(String key, String value, long offset) {
		return new KeyedRecord(key, value.getBytes(StandardCharsets.UTF_8), new StorePosition(1, offset));
	}

	private ForwardedBatch shared(long from, long next, boolean whole, KeyedRecord... changes) {
		return new ForwardedBatch(this.topic.name(), 1, from, next, List.of(changes), whole);
	}

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

	private void putMany(int from, int to) {
		for (int i = from; i <= to; i++) {
			this.topic.put("config", String.valueOf(i));
		}
	}

	// Guards against the incident CONFIG, first cause: records of a later era were taken
	// for known by their offsets. In the last case the next read succeeds and shows
	// nothing but the era.
	@ParameterizedTest
	@CsvSource({ "0", "1", "2", "5" })
	void recordsWrittenAfterTheStoreReturnedAreDelivered(int laterRecords) {
		putMany(1, 5);
		this.follower.start();
		this.topic.returnFromCopy(2);
		this.topic.put("config", "6");
		for (int i = 0; i < laterRecords; i++) {
			this.topic.put("other" + i, "x");
		}
		runScheduled();
		assertThat(this.seen).containsEntry("config", "6").hasSize(1 + laterRecords);
		assertThat(this.returns).isEqualTo(1);
	}

	@Test
	void eachOfTwoReturnsInARowIsNoticed() {
		putMany(1, 5);
		this.follower.start();
		this.topic.returnFromCopy(4);
		this.topic.put("config", "6");
		runScheduled();
		this.topic.returnFromCopy(1);
		this.topic.put("config", "7");
		runScheduled();
		assertThat(this.seen).containsEntry("config", "7");
		assertThat(this.returns).isEqualTo(2);
	}

	@Test
	void aReturnIsNoticedByTheEndOfTheTopicIfTheStoreNamesNoEra() {
		putMany(1, 5);
		this.follower.start();
		this.topic.returnFromCopyWithoutEra(2);
		this.topic.put("config", "6");
		runScheduled();
		assertThat(this.seen).containsEntry("config", "6");
	}

	@Test
	void aReturnBetweenTwoPagesRestartsTheSnapshot() {
		this.topic.pageSize(1);
		putMany(1, 5);
		this.topic.put("z", "1");
		this.topic.beforeNextPage(() -> {
			this.topic.returnFromCopy(2);
			this.topic.put("config", "6");
		});
		this.follower.start();
		assertThat(this.seen).containsOnly(Map.entry("config", "6"));
	}

	@Test
	void aKeyThatTheCopyLacksIsDeliveredAsDeletedByTheReturn() {
		this.topic.put("a", "1");
		this.topic.put("b", "1");
		this.follower.start();
		this.topic.returnFromCopy(1);
		runScheduled();
		assertThat(this.seen).containsOnlyKeys("a");
		assertThat(this.paths).contains(ReadPath.RETURNED_COPY).doesNotContain(ReadPath.FORWARDED);
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

	private void schedule(Runnable work, long millis) {
		this.scheduled.add(work);
		this.delays.add(millis);
	}

	private void runScheduled() {
		int runs = this.scheduled.size();
		for (int i = 0; i < runs; i++) {
			this.scheduled.pollFirst().run();
		}
	}

	/**
	 * Keeps the newest value of each key.
	 */
	private final class Sink implements RecordSink {

		@Override
		public boolean accept(KeyedRecord record, ReadPath path) {
			TopicFollowerTests.this.paths.add(path);
			if (record.key().equals("deep")) {
				throw new StackOverflowError("nested too deeply");
			}
			if (record.key().equals("broken")) {
				throw new IllegalStateException("can't be taken");
			}
			if (record.deleted()) {
				return TopicFollowerTests.this.seen.remove(record.key()) != null;
			}
			String value = new String(record.value(), StandardCharsets.UTF_8);
			return !value.equals(TopicFollowerTests.this.seen.put(record.key(), value));
		}

		@Override
		public void caughtUp(long end) {
			assertThat(end).isNotNegative();
		}

		@Override
		public void storeReturned() {
			TopicFollowerTests.this.returns++;
		}

		@Override
		public void storeRecovered() {
			TopicFollowerTests.this.recoveries++;
		}

	}

}
