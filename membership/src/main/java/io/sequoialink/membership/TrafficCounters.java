package io.sequoialink.membership;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;

import io.sequoialink.membership.wire.PeerProtocol.Body;
import io.sequoialink.membership.wire.PeerProtocol.Body.ContentCase;

/**
 * Counts messages of the peer port. Thread-safe.
 */
final class TrafficCounters {

	private static final int FIELD_OVERHEAD_BYTES = 2;

	private static final int VARINT_BITS = 7;

	private final Map<String, LongAdder> bytesSent = new ConcurrentHashMap<>();

	private final Map<String, LongAdder> messagesSent = new ConcurrentHashMap<>();

	private final Map<FrameRefusal, LongAdder> refused = new ConcurrentHashMap<>();

	private final LongAdder bytesReceived = new LongAdder();

	private final LongAdder messagesReceived = new LongAdder();

	private final LongAdder dropped = new LongAdder();

	void sent(Body body, int bytes) {
		int revisionBytes = Math.min(bytes, revisionBytes(body));
		String duty = duty(body);
		add(this.bytesSent, duty, bytes - revisionBytes);
		add(this.bytesSent, PeerTraffic.REVISIONS, revisionBytes);
		add(this.messagesSent, duty, 1);
	}

	void received(int bytes) {
		this.bytesReceived.add(bytes);
		this.messagesReceived.increment();
	}

	long refused(FrameRefusal refusal) {
		add(this.refused, refusal, 1);
		return this.refused.get(refusal).sum();
	}

	long dropped() {
		this.dropped.increment();
		return this.dropped.sum();
	}

	PeerTraffic snapshot() {
		return new PeerTraffic(sums(this.bytesSent), sums(this.messagesSent), this.bytesReceived.sum(),
				this.messagesReceived.sum(), sums(this.refused), this.dropped.sum());
	}

	private static String duty(Body body) {
		if (body.hasPayload()) {
			return body.getPayload().getTopic();
		}
		boolean brakes = body.getBrakesCount() > 0 || body.getContentCase() == ContentCase.BRAKE_SYNC;
		return brakes ? PeerTraffic.BRAKES : PeerTraffic.MEMBERSHIP;
	}

	private static int revisionBytes(Body body) {
		int revision = (Long.SIZE - Long.numberOfLeadingZeros(body.getRevision() | 1) + VARINT_BITS - 1) / VARINT_BITS;
		return revision + body.getConfirmed().size() + FIELD_OVERHEAD_BYTES + 1;
	}

	private static <K> void add(Map<K, LongAdder> counts, K key, long amount) {
		counts.computeIfAbsent(key, (missing) -> new LongAdder()).add(amount);
	}

	private static <K> Map<K, Long> sums(Map<K, LongAdder> counts) {
		return counts.entrySet()
			.stream()
			.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> entry.getValue().sum()));
	}

}
