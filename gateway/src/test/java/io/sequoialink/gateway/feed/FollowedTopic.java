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

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A follower of a topic with what its sink has seen, what it has scheduled, and another
 * host that may read for it.
 */
abstract class FollowedTopic {

	final FakeTopic topic = new FakeTopic();

	final Map<String, String> seen = new HashMap<>();

	final Deque<Runnable> scheduled = new ArrayDeque<>();

	int recoveries;

	int returns;

	final List<ReadPath> paths = new ArrayList<>();

	long now = 1;

	final StoreAvailability availability = new StoreAvailability(new LabelledCounters("topic", "outcome"),
			new LabelledCounters("topic", "outcome"));

	final List<Long> delays = new ArrayList<>();

	boolean anotherReads;

	final List<ForwardedBatch> forwarded = new ArrayList<>();

	final ReadForwarding forwarding = new ReadForwarding() {
		@Override
		public boolean anotherHostReads() {
			return FollowedTopic.this.anotherReads;
		}

		@Override
		public void forward(ForwardedBatch read) {
			FollowedTopic.this.forwarded.add(read);
		}
	};

	final TopicFollower follower = new TopicFollower(this.topic, new Sink(),
			() -> new PollingSettings(1000, 200, 100, 100, 350, 2000), this::schedule, () -> this.now,
			this.availability, this.forwarding);

	static KeyedRecord record(String key, String value, long offset) {
		return new KeyedRecord(key, value.getBytes(StandardCharsets.UTF_8), new StorePosition(1, offset));
	}

	ForwardedBatch shared(long from, long next, boolean whole, KeyedRecord... changes) {
		return new ForwardedBatch(this.topic.name(), 1, from, next, List.of(changes), whole);
	}

	void putMany(int from, int to) {
		for (int i = from; i <= to; i++) {
			this.topic.put("config", String.valueOf(i));
		}
	}

	void schedule(Runnable work, long millis) {
		this.scheduled.add(work);
		this.delays.add(millis);
	}

	void runScheduled() {
		int runs = this.scheduled.size();
		for (int i = 0; i < runs; i++) {
			this.scheduled.pollFirst().run();
		}
	}

	/**
	 * Keeps the newest value of each key.
	 */
	final class Sink implements RecordSink {

		@Override
		public boolean accept(KeyedRecord record, ReadPath path) {
			FollowedTopic.this.paths.add(path);
			if (record.key().equals("deep")) {
				throw new StackOverflowError("nested too deeply");
			}
			if (record.key().equals("broken")) {
				throw new IllegalStateException("can't be taken");
			}
			if (record.deleted()) {
				return FollowedTopic.this.seen.remove(record.key()) != null;
			}
			String value = new String(record.value(), StandardCharsets.UTF_8);
			return !value.equals(FollowedTopic.this.seen.put(record.key(), value));
		}

		@Override
		public void caughtUp(long end) {
			assertThat(end).isNotNegative();
		}

		@Override
		public void storeReturned() {
			FollowedTopic.this.returns++;
		}

		@Override
		public void storeRecovered() {
			FollowedTopic.this.recoveries++;
		}

	}

}
