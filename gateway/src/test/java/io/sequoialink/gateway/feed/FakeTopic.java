package io.sequoialink.gateway.feed;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

import io.sequoialink.gateway.fleet.StorePosition;

/**
 * An in-memory compacted topic that can be made to fail, to lose its history or to leave
 * calls unanswered. Replies immediately unless a read waits for records.
 */
public final class FakeTopic implements KeyedTopic {

	private final List<KeyedRecord> log = new ArrayList<>();

	private final List<Runnable> waiting = new ArrayList<>();

	private final List<Consumer<StoreReply<PollResult>>> waitingReplies = new ArrayList<>();

	private final List<Consumer<StoreReply<PollResult>>> unanswered = new ArrayList<>();

	private FakeTopic abortedTopic;

	private long historyStart;

	private long era = 1;

	private Runnable beforeNextPage = () -> {
	};

	private boolean down;

	private int pageSize = 100;

	private int lastPollTimeout;

	private int reads;

	public FakeTopic pageSize(int records) {
		this.pageSize = records;
		return this;
	}

	public void down(boolean isDown) {
		this.down = isDown;
		if (isDown) {
			wake();
		}
	}

	public int reads() {
		return this.reads;
	}

	public int lastPollTimeout() {
		return this.lastPollTimeout;
	}

	public long end() {
		return this.log.size();
	}

	public void put(String key, String value) {
		this.log.add(new KeyedRecord(key, value.getBytes(java.nio.charset.StandardCharsets.UTF_8),
				new StorePosition(this.era, this.log.size())));
		wake();
	}

	/**
	 * Returns from a copy that has only the first records, in the next era. Calls that
	 * wait fail.
	 */
	public void returnFromCopy(int records) {
		this.era++;
		returnFromCopyWithoutEra(records);
	}

	/** Does the same without naming another era. */
	public void returnFromCopyWithoutEra(int records) {
		this.log.subList(records, this.log.size()).clear();
		this.historyStart = Math.min(this.historyStart, records);
		List<Consumer<StoreReply<PollResult>>> due = new ArrayList<>(this.waitingReplies);
		this.waiting.clear();
		this.waitingReplies.clear();
		due.forEach((reply) -> reply.accept(failure()));
	}

	/** Runs an action once, before the next page but the first is read. */
	public void beforeNextPage(Runnable action) {
		this.beforeNextPage = action;
	}

	public void loseHistory() {
		this.historyStart = this.log.size();
	}

	private void wake() {
		List<Runnable> due = new ArrayList<>(this.waiting);
		this.waiting.clear();
		this.waitingReplies.clear();
		due.forEach(Runnable::run);
	}

	/**
	 * Leaves the calls that wait now unanswered for ever, as a store does after it has
	 * rejected a host.
	 */
	public void leaveWaitingUnanswered() {
		this.unanswered.addAll(this.waitingReplies);
		this.waiting.clear();
		this.waitingReplies.clear();
	}

	/**
	 * Sets the topic whose unanswered calls are aborted by {@link #abortWaitingCalls()}
	 * of this one.
	 */
	public void abortsCallsOf(FakeTopic other) {
		this.abortedTopic = other;
	}

	@Override
	public void abortWaitingCalls() {
		if (this.abortedTopic != null) {
			List<Consumer<StoreReply<PollResult>>> due = new ArrayList<>(this.abortedTopic.unanswered);
			this.abortedTopic.unanswered.clear();
			due.forEach((reply) -> reply
				.accept(StoreReply.failed(new StoreFailure(StoreFailure.Kind.RENEWED, "given up"))));
		}
	}

	@Override
	public String name() {
		return "fake";
	}

	@Override
	public long era() {
		return this.era;
	}

	@Override
	public void readSnapshot(Optional<String> after, Consumer<StoreReply<SnapshotPage>> reply) {
		if (this.down) {
			reply.accept(failure());
			return;
		}
		if (after.isPresent()) {
			Runnable action = this.beforeNextPage;
			this.beforeNextPage = () -> {
			};
			action.run();
		}
		Map<String, KeyedRecord> newest = new LinkedHashMap<>();
		for (KeyedRecord record : this.log) {
			newest.remove(record.key());
			if (!record.deleted()) {
				newest.put(record.key(), record);
			}
		}
		List<KeyedRecord> sorted = newest.values()
			.stream()
			.sorted((one, other) -> one.key().compareTo(other.key()))
			.filter((record) -> after.isEmpty() || record.key().compareTo(after.get()) > 0)
			.toList();
		List<KeyedRecord> page = sorted.subList(0, Math.min(this.pageSize, sorted.size()));
		Optional<String> next = (page.size() < sorted.size()) ? Optional.of(page.get(page.size() - 1).key())
				: Optional.empty();
		reply.accept(StoreReply.of(new SnapshotPage(page, next, this.log.size())));
	}

	@Override
	public void poll(long from, int waitMillis, Consumer<StoreReply<PollResult>> reply) {
		this.lastPollTimeout = waitMillis;
		this.reads++;
		if (this.down) {
			reply.accept(failure());
		}
		else if (from < this.historyStart || from > this.log.size()) {
			reply.accept(StoreReply.of(new PollResult(List.of(), from, this.log.size(), true)));
		}
		else if (from < this.log.size()) {
			List<KeyedRecord> tail = List.copyOf(this.log.subList((int) from, this.log.size()));
			reply.accept(StoreReply.of(new PollResult(tail, this.log.size(), this.log.size(), false)));
		}
		else {
			this.waiting.add(() -> {
				this.reads--;
				poll(from, waitMillis, reply);
			});
			this.waitingReplies.add(reply);
		}
	}

	@Override
	public void append(String key, byte[] value, OptionalLong at, Consumer<StoreReply<Long>> reply) {
		if (this.down) {
			reply.accept(failure());
			return;
		}
		if (at.isPresent() && at.getAsLong() != this.log.size()) {
			reply.accept(StoreReply.failed(new StoreFailure(StoreFailure.Kind.CONFLICT, "moved on")));
			return;
		}
		long offset = this.log.size();
		this.log.add(new KeyedRecord(key, value, new StorePosition(this.era, offset)));
		reply.accept(StoreReply.of(offset));
		wake();
	}

	private static <T> StoreReply<T> failure() {
		return StoreReply.failed(new StoreFailure(StoreFailure.Kind.REFUSED, "down"));
	}

}
