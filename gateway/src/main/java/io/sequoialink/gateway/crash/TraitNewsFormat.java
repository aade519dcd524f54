package io.sequoialink.gateway.crash;

import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.sequoialink.decision.crash.CulpritState;
import io.sequoialink.decision.crash.Involvement;
import io.sequoialink.decision.crash.TraitState;

/**
 * Encodes {@link TraitNews} as datagrams. Stateless. Times are sent as ages in
 * milliseconds.
 *
 * <pre>
 * version(1) sender, then items, each with its kind(1):
 *   1 crash: server(8) age(4) count(1), then for each trait: hash(8) age of the send(4)
 *     answering(1) label
 *   2 state: trait(8) crashes(1) and five ages(4)
 *   3 culprit: count(1) traits(8 each) crashes(2) age(4) lifted(1) label
 * text: length(1), UTF-8
 * </pre>
 */
final class TraitNewsFormat {

	/** First byte of each datagram; differs from that of the other kinds. */
	static final byte VERSION = 3;

	/** Maximum size of a datagram, in bytes; fits into one packet. */
	static final int MAX_DATAGRAM_BYTES = 1200;

	/** Maximum number of traits of a culprit that is sent. */
	static final int MAX_CULPRIT_TRAITS = 32;

	private static final byte CRASH = 1;

	private static final byte STATE = 2;

	private static final byte CULPRIT = 3;

	private static final int CRASH_HEAD_BYTES = 14;

	private static final int CRASH_TRAIT_BYTES = 62;

	private static final int MAX_TRAIT_LABEL_BYTES = 48;

	private static final int STATE_BYTES = 30;

	private static final int CULPRIT_FIXED_BYTES = 10;

	private static final int MAX_LABEL_BYTES = 200;

	private static final int NO_AGE = -1;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final String sender;

	private final long nowNanos;

	private final List<byte[]> datagrams = new ArrayList<>();

	private ByteBuffer buffer;

	private TraitNewsFormat(String sender, long nowNanos) {
		this.sender = sender;
		this.nowNanos = nowNanos;
	}

	/**
	 * Encodes news as few datagrams.
	 * @param news the news
	 * @param nowNanos current monotonic time in nanoseconds
	 * @return the datagrams, none if there are no news
	 */
	static List<byte[]> write(TraitNews news, long nowNanos) {
		TraitNewsFormat writer = new TraitNewsFormat(news.sender(), nowNanos);
		news.culprits().forEach(writer::writeCulprit);
		news.states().forEach(writer::writeState);
		news.crashes().forEach(writer::writeCrash);
		writer.endDatagram();
		return writer.datagrams;
	}

	private void reserve(int bytes) {
		if (this.buffer != null && this.buffer.remaining() < bytes) {
			endDatagram();
		}
		if (this.buffer == null) {
			this.buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
			this.buffer.put(VERSION);
			writeText(this.sender, MAX_LABEL_BYTES);
		}
	}

	private void endDatagram() {
		if (this.buffer != null) {
			byte[] datagram = new byte[this.buffer.position()];
			this.buffer.flip().get(datagram);
			this.datagrams.add(datagram);
			this.buffer = null;
		}
	}

	private void writeText(String text, int maxBytes) {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		int length = Math.min(maxBytes, bytes.length);
		this.buffer.put((byte) length).put(bytes, 0, length);
	}

	private void writeCulprit(TraitNews.Culprit culprit) {
		if (culprit.traits().size() > MAX_CULPRIT_TRAITS) {
			return;
		}
		reserve(CULPRIT_FIXED_BYTES + Long.BYTES * culprit.traits().size() + MAX_LABEL_BYTES);
		this.buffer.put(CULPRIT).put((byte) culprit.traits().size());
		culprit.traits().forEach(this.buffer::putLong);
		this.buffer.putShort((short) Math.min(Short.MAX_VALUE, culprit.state().crashes()));
		this.buffer.putInt(age(culprit.state().atNanos())).put((byte) (culprit.state().lifted() ? 1 : 0));
		writeText(culprit.label(), MAX_LABEL_BYTES);
	}

	private void writeState(long trait, TraitState state) {
		reserve(STATE_BYTES);
		this.buffer.put(STATE).putLong(trait).put((byte) Math.min(Byte.MAX_VALUE, state.crashes()));
		this.buffer.putInt(age(state.firstNanos())).putInt(age(state.suspectedNanos()));
		this.buffer.putInt(age(state.clearedNanos())).putInt(age(state.withdrawnNanos()));
		this.buffer.putInt(age(state.trialNanos()));
	}

	private void writeCrash(TraitNews.LostTraits crash) {
		List<Map.Entry<Long, Involvement>> rest = new ArrayList<>(crash.involved().entrySet());
		do {
			reserve(CRASH_HEAD_BYTES + CRASH_TRAIT_BYTES);
			int count = Math.min(Math.min(rest.size(), Byte.MAX_VALUE),
					(this.buffer.remaining() - CRASH_HEAD_BYTES) / CRASH_TRAIT_BYTES);
			this.buffer.put(CRASH).putLong(crash.server()).putInt(age(crash.atNanos())).put((byte) count);
			List<Map.Entry<Long, Involvement>> part = rest.subList(0, count);
			part.forEach((entry) -> {
				this.buffer.putLong(entry.getKey()).putInt(age(entry.getValue().sentNanos()));
				this.buffer.put((byte) (entry.getValue().answering() ? 1 : 0));
				writeText(crash.labels().getOrDefault(entry.getKey(), ""), MAX_TRAIT_LABEL_BYTES);
			});
			part.clear();
		}
		while (!rest.isEmpty());
	}

	private int age(long nanos) {
		if (nanos == TraitState.NEVER) {
			return NO_AGE;
		}
		return (int) Math.min(Integer.MAX_VALUE, Math.max(0, this.nowNanos - nanos) / NANOS_PER_MILLI);
	}

	/**
	 * Decodes a datagram.
	 * @param datagram the payload
	 * @param nowNanos current monotonic time in nanoseconds
	 * @return the news
	 * @throws IOException if the datagram is malformed
	 */
	static TraitNews read(byte[] datagram, long nowNanos) throws IOException {
		ByteBuffer buffer = ByteBuffer.wrap(datagram);
		try {
			if (buffer.get() != VERSION) {
				throw new IOException("unsupported version");
			}
			TraitNews news = new TraitNews(readText(buffer), new ArrayList<>(), new HashMap<>(), new ArrayList<>());
			while (buffer.hasRemaining()) {
				readItem(buffer, news, nowNanos);
			}
			return news;
		}
		catch (BufferUnderflowException ex) {
			throw new IOException("truncated", ex);
		}
	}

	private static void readItem(ByteBuffer buffer, TraitNews news, long nowNanos) throws IOException {
		byte kind = buffer.get();
		switch (kind) {
			case CRASH -> news.crashes().add(readCrash(buffer, nowNanos));
			case STATE -> news.states().put(buffer.getLong(), readState(buffer, nowNanos));
			case CULPRIT -> news.culprits().add(readCulprit(buffer, nowNanos));
			default -> throw new IOException("unsupported kind " + kind);
		}
	}

	private static TraitNews.LostTraits readCrash(ByteBuffer buffer, long nowNanos) throws IOException {
		long server = buffer.getLong();
		long at = readTime(buffer, nowNanos);
		int count = readCount(buffer, Byte.MAX_VALUE);
		TraitNews.LostTraits crash = new TraitNews.LostTraits(server, at, new HashMap<>(), new HashMap<>());
		for (int i = 0; i < count; i++) {
			long trait = buffer.getLong();
			crash.involved().put(trait, new Involvement(readTime(buffer, nowNanos), buffer.get() == 1));
			crash.labels().put(trait, readText(buffer));
		}
		return crash;
	}

	private static TraitState readState(ByteBuffer buffer, long nowNanos) throws IOException {
		int crashes = readCount(buffer, Byte.MAX_VALUE);
		return new TraitState(crashes, readTime(buffer, nowNanos), readTime(buffer, nowNanos),
				readTime(buffer, nowNanos), readTime(buffer, nowNanos), readTime(buffer, nowNanos));
	}

	private static TraitNews.Culprit readCulprit(ByteBuffer buffer, long nowNanos) throws IOException {
		int count = readCount(buffer, MAX_CULPRIT_TRAITS);
		Set<Long> traits = new HashSet<>();
		for (int i = 0; i < count; i++) {
			traits.add(buffer.getLong());
		}
		CulpritState state = new CulpritState(buffer.getShort(), readTime(buffer, nowNanos), buffer.get() == 1);
		return new TraitNews.Culprit(traits, state, readText(buffer));
	}

	private static int readCount(ByteBuffer buffer, int max) throws IOException {
		int count = buffer.get();
		if (count < 0 || count > max) {
			throw new IOException("unsupported count " + count);
		}
		return count;
	}

	private static long readTime(ByteBuffer buffer, long nowNanos) throws IOException {
		int age = buffer.getInt();
		if (age < NO_AGE) {
			throw new IOException("negative age " + age);
		}
		return (age == NO_AGE) ? TraitState.NEVER : nowNanos - age * NANOS_PER_MILLI;
	}

	private static String readText(ByteBuffer buffer) {
		byte[] bytes = new byte[Byte.toUnsignedInt(buffer.get())];
		buffer.get(bytes);
		return new String(bytes, StandardCharsets.UTF_8);
	}

}
