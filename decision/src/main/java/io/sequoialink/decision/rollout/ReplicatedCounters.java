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
 * State-based replicated counters (a grow-only counter CRDT). A cell is a named set of
 * counts, such as those of one version; within a cell each process of a host (host and
 * incarnation) has its own counts. Merging takes the element-wise maximum for each
 * process, so it is idempotent, commutative and associative, and nothing is counted
 * twice. Not thread-safe: guarded by the lock of its policy.
 */
final class ReplicatedCounters {

	/** Maximum number of host processes in one cell. */
	static final int MAX_SOURCES = 4096;

	/** Maximum size of a payload, in bytes. */
	static final int MAX_PAYLOAD_BYTES = 16 * 1024;

	/** Maximum number of cells. */
	static final int MAX_CELLS = 512;

	/** Number of payloads after which the counts of another host are forwarded again. */
	private static final int RELAY_INTERVAL = 8;

	private final String self;

	private final Map<String, Map<String, Source>> cells = new HashMap<>();

	private final Map<String, AnswerStatistics> totals = new HashMap<>();

	private long changes;

	private long payloadsBuilt;

	ReplicatedCounters(String host, long incarnation) {
		this.self = host + "/" + incarnation;
	}

	void increment(String cell, int index) {
		Source own = source(cell, this.self);
		if (own != null) {
			own.counts[index]++;
			own.lastChange = ++this.changes;
			this.totals.remove(cell);
		}
	}

	AnswerStatistics total(String cell) {
		return this.totals.computeIfAbsent(cell, this::sum);
	}

	private AnswerStatistics sum(String cell) {
		long[] sum = new long[AnswerStatistics.SIZE];
		for (Source source : this.cells.getOrDefault(cell, Map.of()).values()) {
			for (int i = 0; i < sum.length; i++) {
				sum[i] += source.counts[i];
			}
		}
		return AnswerStatistics.of(sum);
	}

	// Removes the cells that do not match a predicate.
	void retain(Predicate<String> kept) {
		this.cells.keySet().removeIf((cell) -> !kept.test(cell));
		this.totals.keySet().removeIf((cell) -> !kept.test(cell));
	}

	List<String> cells() {
		return List.copyOf(this.cells.keySet());
	}

	// Returns the counts of this process and then, as far as they fit, those of other
	// processes that were not forwarded recently, the latest change first. Forwarding
	// lets the counts reach hosts that exchange payloads with some peers only, and
	// replaces lost payloads.
	byte[] nextPayload() {
		this.payloadsBuilt++;
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		for (Source source : sourcesToSend()) {
			byte[] encoded = source.encode();
			if (bytes.size() + encoded.length <= MAX_PAYLOAD_BYTES) {
				bytes.writeBytes(encoded);
				source.lastSent = this.payloadsBuilt;
			}
		}
		return bytes.toByteArray();
	}

	private List<Source> sourcesToSend() {
		List<Source> sources = new ArrayList<>();
		this.cells.values().forEach((cell) -> sources.addAll(cell.values()));
		sources.removeIf((source) -> !isOwn(source) && this.payloadsBuilt - source.lastSent < RELAY_INTERVAL);
		sources.sort(
				Comparator.comparing((Source source) -> !isOwn(source)).thenComparing((source) -> -source.lastChange));
		return sources;
	}

	private boolean isOwn(Source source) {
		return source.name.equals(this.self);
	}

	// Merges a payload. Merging stops at the first malformed entry; the entries before
	// it are kept.
	void merge(byte[] payload, Predicate<String> wanted) {
		DataInputStream in = new DataInputStream(new ByteArrayInputStream(payload));
		try {
			while (in.available() > 0) {
				mergeOne(in, wanted);
			}
		}
		catch (IOException ex) {
			// The payload is truncated or malformed: the entries before the fault were
			// merged.
		}
	}

	private void mergeOne(DataInputStream in, Predicate<String> wanted) throws IOException {
		String cell = in.readUTF();
		String name = in.readUTF();
		long[] counts = new long[AnswerStatistics.SIZE];
		int filled = in.readUnsignedByte();
		for (int i = 0; i < filled; i++) {
			int index = in.readUnsignedByte();
			long value = readNumber(in);
			if (index < AnswerStatistics.SIZE) {
				counts[index] = value;
			}
		}
		if (!wanted.test(cell) || name.equals(this.self)) {
			return;
		}
		Source source = source(cell, name);
		if (source != null && source.mergeMaximum(counts)) {
			source.lastChange = ++this.changes;
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
		throw new IOException("variable-length number has more than 63 bits");
	}

	/** Counts of one host process in one cell. Guarded by the lock of the policy. */
	private static final class Source {

		private final String cell;

		private final String name;

		private final long[] counts = new long[AnswerStatistics.SIZE];

		private long lastChange;

		private long lastSent = -RELAY_INTERVAL;

		private Source(String cell, String name) {
			this.cell = cell;
			this.name = name;
		}

		private boolean mergeMaximum(long[] others) {
			boolean changed = false;
			for (int i = 0; i < others.length; i++) {
				if (others[i] > this.counts[i]) {
					this.counts[i] = others[i];
					changed = true;
				}
			}
			return changed;
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
