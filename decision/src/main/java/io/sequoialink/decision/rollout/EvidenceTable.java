package io.sequoialink.decision.rollout;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Counters by cell, host and incarnation: a state-based replicated counter. Merging takes
 * the elementwise maximum for each host and incarnation, so it is idempotent, commutative
 * and associative, and nothing counts twice. Not thread-safe: guarded by its policy's
 * lock. A cell keeps at most {@link #MAX_SOURCES} sources.
 */
final class EvidenceTable {

	/** The most host incarnations of one cell. */
	static final int MAX_SOURCES = 4096;

	/** The largest payload, in bytes. */
	static final int MAX_PAYLOAD_BYTES = 16 * 1024;

	/** The most cells. */
	static final int MAX_CELLS = 512;

	/** Payloads after which the counters of another host are passed on again. */
	private static final int RELAY_EVERY = 8;

	private final String self;

	private final Map<String, Map<String, Source>> cells = new HashMap<>();

	private final Map<String, Evidence> totals = new HashMap<>();

	private long clock;

	private long payloads;

	EvidenceTable(String host, long incarnation) {
		this.self = host + "/" + incarnation;
	}

	void add(String cell, int index) {
		Source own = source(cell, this.self);
		if (own != null) {
			own.counts[index]++;
			own.changed = ++this.clock;
			this.totals.remove(cell);
		}
	}

	Evidence total(String cell) {
		return this.totals.computeIfAbsent(cell, this::sum);
	}

	private Evidence sum(String cell) {
		long[] sum = new long[Evidence.SIZE];
		for (Source source : this.cells.getOrDefault(cell, Map.of()).values()) {
			for (int i = 0; i < sum.length; i++) {
				sum[i] += source.counts[i];
			}
		}
		return Evidence.of(sum);
	}

	// Forgets the cells that a predicate does not keep.
	void retain(Predicate<String> kept) {
		this.cells.keySet().removeIf((cell) -> !kept.test(cell));
		this.totals.keySet().removeIf((cell) -> !kept.test(cell));
	}

	List<String> cells() {
		return List.copyOf(this.cells.keySet());
	}

	// Returns this host's counters and then, as far as they fit, those of others that
	// were
	// not passed on lately, the latest change first: evidence also travels through hosts
	// that only talk to some peers, and what a lost payload held is sent again.
	byte[] payload() {
		this.payloads++;
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		for (Source source : due()) {
			byte[] encoded = source.encode();
			if (bytes.size() + encoded.length <= MAX_PAYLOAD_BYTES) {
				bytes.writeBytes(encoded);
				source.sentAt = this.payloads;
			}
		}
		return bytes.toByteArray();
	}

	private List<Source> due() {
		List<Source> sources = new ArrayList<>();
		this.cells.values().forEach((cell) -> sources.addAll(cell.values()));
		sources.removeIf((source) -> !isOwn(source) && this.payloads - source.sentAt < RELAY_EVERY);
		sources
			.sort(Comparator.comparing((Source source) -> !isOwn(source)).thenComparing((source) -> -source.changed));
		return sources;
	}

	private boolean isOwn(Source source) {
		return source.name.equals(this.self);
	}

	// Merges a payload; what is malformed ends the merge and changes nothing more.
	void merge(byte[] payload, Predicate<String> wanted) {
		DataInputStream in = new DataInputStream(new ByteArrayInputStream(payload));
		try {
			while (in.available() > 0) {
				mergeOne(in, wanted);
			}
		}
		catch (IOException ex) {
			// A truncated payload: what was whole has been merged.
		}
	}

	private void mergeOne(DataInputStream in, Predicate<String> wanted) throws IOException {
		String cell = in.readUTF();
		String name = in.readUTF();
		long[] counts = new long[Evidence.SIZE];
		int filled = in.readUnsignedByte();
		for (int i = 0; i < filled; i++) {
			int index = in.readUnsignedByte();
			long value = readNumber(in);
			if (index < Evidence.SIZE) {
				counts[index] = value;
			}
		}
		if (!wanted.test(cell) || name.equals(this.self)) {
			return;
		}
		Source source = source(cell, name);
		if (source != null && source.raise(counts)) {
			source.changed = ++this.clock;
			this.totals.remove(cell);
		}
	}

	private Source source(String cell, String name) {
		if (this.cells.size() >= MAX_CELLS && !this.cells.containsKey(cell)) {
			return null;
		}
		Map<String, Source> sources = this.cells.computeIfAbsent(cell, (key) -> new HashMap<>());
		if (sources.size() >= MAX_SOURCES && !sources.containsKey(name)) {
			return null;
		}
		return sources.computeIfAbsent(name, (key) -> new Source(cell, key));
	}

	private static void writeNumber(DataOutputStream out, long number) throws IOException {
		long rest = number;
		while (rest > 0x7f) {
			out.writeByte((int) (rest & 0x7f) | 0x80);
			rest >>>= 7;
		}
		out.writeByte((int) rest);
	}

	private static long readNumber(DataInputStream in) throws IOException {
		long number = 0;
		for (int shift = 0; shift < 63; shift += 7) {
			int part = in.readUnsignedByte();
			number |= (long) (part & 0x7f) << shift;
			if (part < 0x80) {
				return number;
			}
		}
		throw new IOException("number is too long");
	}

	/** The counters of one host incarnation in one cell. Guarded by the policy's lock. */
	private static final class Source {

		private final String cell;

		private final String name;

		private final long[] counts = new long[Evidence.SIZE];

		private long changed;

		private long sentAt = -RELAY_EVERY;

		private Source(String cell, String name) {
			this.cell = cell;
			this.name = name;
		}

		private boolean raise(long[] others) {
			boolean raised = false;
			for (int i = 0; i < others.length; i++) {
				if (others[i] > this.counts[i]) {
					this.counts[i] = others[i];
					raised = true;
				}
			}
			return raised;
		}

		private byte[] encode() {
			ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			DataOutputStream out = new DataOutputStream(bytes);
			try {
				out.writeUTF(this.cell);
				out.writeUTF(this.name);
				out.writeByte((int) Arrays.stream(this.counts).filter((count) -> count > 0).count());
				for (int i = 0; i < this.counts.length; i++) {
					if (this.counts[i] > 0) {
						out.writeByte(i);
						writeNumber(out, this.counts[i]);
					}
				}
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
			return bytes.toByteArray();
		}

	}

}
