package io.sequoialink.gateway.feed;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.sequoialink.gateway.count.LabelledCounts;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class TopicFollowerTests {

	private final FakeTopic topic = new FakeTopic();

	private final Map<String, String> seen = new HashMap<>();

	private final Deque<Runnable> later = new ArrayDeque<>();

	private int returns;

	private long now = 1;

	private final StoreWatch watch = new StoreWatch(new LabelledCounts("topic", "outcome"),
			new LabelledCounts("topic", "outcome"));

	private final List<Long> delays = new ArrayList<>();

	private boolean anotherReads;

	private final List<SharedRead> told = new ArrayList<>();

	private final ReadSharing sharing = new ReadSharing() {
		@Override
		public boolean anotherReads() {
			return TopicFollowerTests.this.anotherReads;
		}

		@Override
		public void read(SharedRead read) {
			TopicFollowerTests.this.told.add(read);
		}
	};

	private final TopicFollower follower = new TopicFollower(this.topic, new Sink(),
			() -> new FollowPace(1000, 200, 100, 100, 350, 2000), this::later, () -> this.now, this.watch,
			this.sharing);

	@Test
	void whatIsThereAndWhatFollowsIsHandedOn() {
		this.topic.put("a", "1");
		this.topic.put("a", "2");
		this.follower.start();
		assertThat(this.seen).containsExactly(Map.entry("a", "2"));
		assertThat(this.follower.whole()).isTrue();
		this.topic.put("b", "3");
		assertThat(this.seen).containsEntry("b", "3");
	}

	@Test
	void aRecordWhoseTakerFailsIsSkippedAndTheNextOnesFollow() {
		this.topic.put("broken", "1");
		this.topic.put("a", "2");
		this.follower.start();
		assertThat(this.seen).containsExactly(Map.entry("a", "2"));
		this.topic.put("broken", "3");
		this.topic.put("b", "4");
		for (int i = 0; i < 5 && !this.later.isEmpty(); i++) {
			this.later.poll().run();
		}
		assertThat(this.seen).containsEntry("b", "4");
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
	void aDroppedKeyIsHandedOnAsDropped() {
		this.topic.put("a", "1");
		this.follower.start();
		this.topic.put("a", "");
		assertThat(this.seen).isEmpty();
	}

	@Test
	void anOutageLeavesWhatIsKnownAndWhatWasMissedFollows() {
		this.topic.put("a", "1");
		this.follower.start();
		this.topic.down(true);
		assertThat(this.seen).containsEntry("a", "1");
		assertThat(this.follower.steadyNanos()).isEmpty();
		this.topic.put("a", "2");
		this.topic.put("b", "3");
		this.topic.down(false);
		runLater();
		assertThat(this.seen).containsEntry("a", "2").containsEntry("b", "3");
		assertThat(this.returns).isEqualTo(1);
	}

	@Test
	void aStoreThatIsDownAtTheStartIsAskedAgain() {
		this.topic.put("a", "1");
		this.topic.down(true);
		this.follower.start();
		assertThat(this.follower.whole()).isFalse();
		this.topic.down(false);
		runLater();
		assertThat(this.seen).containsEntry("a", "1");
	}

	// The log told of an outage as long as the machine had been up.
	@Test
	void theAgeOfWhatWasNeverReadCountsFromTheStart() {
		this.now = 5_000_000_000L;
		this.follower.start();
		this.now += 7;
		assertThat(this.follower.ageNanos()).isEqualTo(7);
	}

	// Hosts that waited for a topic which did not exist yet never heard of its first
	// records.
	@Test
	void theStoreIsAskedToWaitLessWhileTheTopicIsEmpty() {
		this.follower.start();
		assertThat(this.topic.lastWait()).isEqualTo(200);
		this.topic.put("a", "1");
		runLater();
		assertThat(this.topic.lastWait()).isEqualTo(1000);
	}

	@ParameterizedTest
	@CsvSource({ "0,100", "60,40", "100,0", "900,0" })
	void theTimeThatACallWaitedCountsTowardsThePause(long waitedMillis, long pauseMillis) {
		this.follower.start();
		this.now += waitedMillis * 1_000_000L;
		this.topic.put("a", "1");
		assertThat(this.delays).containsExactly(pauseMillis);
	}

	private static KeyedRecord record(String key, String value, long offset) {
		return new KeyedRecord(key, value.getBytes(StandardCharsets.UTF_8), offset);
	}

	private SharedRead shared(long from, long next, boolean whole, KeyedRecord... changes) {
		return new SharedRead(this.topic.name(), from, next, List.of(changes), whole);
	}

	@Test
	void whatWasReadIsToldToOthersWithoutWhatIsNotNew() {
		this.topic.put("a", "1");
		this.follower.start();
		this.topic.put("a", "1");
		assertThat(this.told).containsExactly(shared(1, 2, true));
		runLater();
		this.topic.put("a", "2");
		assertThat(this.told.get(1).from()).isEqualTo(2);
		assertThat(this.told.get(1).changes()).extracting(KeyedRecord::offset).containsExactly(2L);
	}

	@Test
	void whileAnotherHostReadsTheStoreIsLeftAloneAsLongAsNewsAreFresh() {
		this.follower.start();
		this.anotherReads = true;
		this.topic.put("a", "1");
		int calls = this.topic.reads();
		this.now += 1_000_000_000L;
		runLater();
		assertThat(this.topic.reads()).isEqualTo(calls);
		this.follower.shared(shared(1, 2, true, record("b", "2", 1)));
		assertThat(this.seen).containsEntry("b", "2");
		this.now += 1_500_000_000L;
		runLater();
		assertThat(this.topic.reads()).isEqualTo(calls);
		this.now += 500_000_000L;
		runLater();
		assertThat(this.topic.reads()).isEqualTo(calls + 1);
	}

	@ParameterizedTest
	@CsvSource({ "2,true", "1,false" })
	void aStretchThatStaysMissingOrIsNotWholeIsReadFromTheStore(long from, boolean whole) {
		this.follower.start();
		this.anotherReads = true;
		this.topic.put("a", "1");
		runLater();
		this.topic.put("b", "2");
		int calls = this.topic.reads();
		this.follower.shared(shared(from, 3, whole));
		runLater();
		assertThat(this.topic.reads()).isEqualTo(calls + 1);
		assertThat(this.seen).containsEntry("b", "2");
	}

	// Datagrams of one read overtake each other; each host read the store for it.
	@Test
	void stretchesThatArriveOutOfOrderAreFollowedWithoutACall() {
		this.follower.start();
		this.anotherReads = true;
		this.topic.put("a", "0");
		int calls = this.topic.reads();
		this.follower.shared(shared(3, 4, true, record("a", "3", 3)));
		this.follower.shared(shared(2, 3, true, record("b", "2", 2)));
		assertThat(this.seen).containsEntry("a", "0");
		this.follower.shared(shared(1, 2, true, record("a", "1", 1)));
		assertThat(this.seen).containsEntry("a", "3").containsEntry("b", "2");
		runLater();
		assertThat(this.topic.reads()).isEqualTo(calls);
	}

	@Test
	void whatIsOlderThanWhatIsKnownChangesNothing() {
		this.topic.put("a", "1");
		this.topic.put("a", "2");
		this.follower.start();
		this.follower.shared(shared(0, 1, true, record("a", "1", 0)));
		assertThat(this.seen).containsEntry("a", "2");
		assertThat(this.follower.next()).isEqualTo(2);
	}

	@Test
	void aHostThatIsTurnedAwayByTheStoreKnowsWhatItIsTold() {
		this.follower.start();
		this.topic.down(true);
		this.anotherReads = true;
		this.follower.shared(shared(0, 1, true, record("a", "1", 0)));
		assertThat(this.seen).containsEntry("a", "1");
		assertThat(this.returns).isEqualTo(1);
	}

	@Test
	void aForgottenHistoryIsReadAnewAndKeysThatAreGoneAreDropped() {
		this.topic.put("a", "1");
		this.topic.put("b", "2");
		this.follower.start();
		this.topic.down(true);
		this.topic.put("a", "");
		this.topic.put("c", "3");
		this.topic.forgetHistory();
		this.topic.down(false);
		runLater();
		assertThat(this.seen).containsOnlyKeys("b", "c");
	}

	// A fleet of 65 hosts: a host that the store had turned away for a while kept waiting
	// for a call that was never answered, and missed a configuration for seconds.
	@Test
	void aCallThatWaitsThroughAnOutageIsMadeAgainOnceAnotherTopicIsReadAgain() {
		this.topic.put("a", "1");
		this.follower.start();
		FakeTopic paced = new FakeTopic();
		paced.renews(this.topic);
		new TopicFollower(paced, new Sink(), () -> new FollowPace(100, 100, 100, 100, 100, 100), this::later, () -> 1L,
				this.watch, ReadSharing.NONE)
			.start();
		this.topic.forgetWaiting();
		paced.down(true);
		this.topic.put("a", "2");
		paced.down(false);
		paced.put("x", "1");
		runLater();
		runLater();
		assertThat(this.seen).containsEntry("a", "2");
	}

	@Test
	void theStoreIsAskedToWaitLessForAWhileAfterAnOutage() {
		this.topic.put("before", "1");
		this.follower.start();
		assertThat(this.topic.lastWait()).isEqualTo(1000);
		this.topic.down(true);
		this.topic.down(false);
		this.topic.put("a", "1");
		runLater();
		runLater();
		assertThat(this.topic.lastWait()).isEqualTo(200);
		this.now += TopicFollower.CAUTION_NANOS;
		this.topic.put("a", "2");
		runLater();
		assertThat(this.topic.lastWait()).isEqualTo(1000);
	}

	// 65 hosts with three topics each made some thousand calls in an outage of 5 s.
	@Test
	void aStoreThatIsAwayIsAskedLessAndLess() {
		this.follower.start();
		this.topic.down(true);
		for (int i = 0; i < 4; i++) {
			runLater();
		}
		assertThat(this.delays).containsExactly(100L, 200L, 350L, 350L, 350L);
	}

	@Test
	void aCallThatWasPutOffIsMadeAtOnceWhenAnotherTopicIsReadAgain() {
		this.follower.start();
		FakeTopic other = new FakeTopic();
		new TopicFollower(other, new Sink(), () -> new FollowPace(100, 100, 100, 100, 100, 100), this::later, () -> 1L,
				this.watch, ReadSharing.NONE)
			.start();
		this.topic.down(true);
		other.down(true);
		this.topic.put("a", "1");
		this.topic.down(false);
		other.down(false);
		other.put("x", "1");
		this.later.removeLast().run();
		assertThat(this.seen).containsEntry("a", "1");
		runLater();
		assertThat(this.returns).isEqualTo(2);
	}

	// A host that had been cut off: one topic was read again while the call to another,
	// made
	// before, still hung, and that topic was then not asked for again for 2 s.
	@Test
	void aCallThatFailsAfterTheStoreAnsweredAnotherTopicIsMadeAgainSoon() {
		FakeTopic other = new FakeTopic();
		new TopicFollower(other, new Sink(), () -> new FollowPace(100, 100, 0, 100, 100, 100), this::later,
				() -> this.now, this.watch, ReadSharing.NONE)
			.start();
		this.follower.start();
		this.topic.down(true);
		runLater();
		runLater();
		assertThat(this.delays).endsWith(350L);
		this.topic.down(false);
		runLater();
		this.now += 5;
		other.put("x", "1");
		this.topic.down(true);
		assertThat(this.delays).endsWith(100L);
	}

	private void later(Runnable work, long millis) {
		this.later.add(work);
		this.delays.add(millis);
	}

	private void runLater() {
		int runs = this.later.size();
		for (int i = 0; i < runs; i++) {
			this.later.pollFirst().run();
		}
	}

	/**
	 * Keeps the newest value of each key.
	 */
	private final class Sink implements RecordSink {

		@Override
		public boolean take(KeyedRecord record) {
			if (record.key().equals("broken")) {
				throw new IllegalStateException("can't be taken");
			}
			if (record.dropped()) {
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
		public void returned() {
			TopicFollowerTests.this.returns++;
		}

	}

}
