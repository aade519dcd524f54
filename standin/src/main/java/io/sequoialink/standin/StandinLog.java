package io.sequoialink.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

import io.sequoialink.remote.LogRecord;
import io.sequoialink.remote.LogStream;

/**
 * The platform's append-only log, in memory. Thread-safe; the streams are guarded by
 * their own monitor. Faults are switched while it runs.
 */
public final class StandinLog extends StandinServer {

	/** The largest append, in bytes of all payloads together. */
	public static final int MAX_APPEND_BYTES = 1024 * 1024;

	private static final String PREFIX = "/v1/streams/";

	private final Map<String, Stream> streams = new TreeMap<>();

	private final LongSupplier clockMillis;

	private final AtomicInteger answersToLose = new AtomicInteger();

	private final AtomicLong appends = new AtomicLong();

	private volatile boolean unavailable;

	private volatile long slowMillis;

	private volatile int keepRecords = Integer.MAX_VALUE;

	private volatile long keepMillis = Long.MAX_VALUE;

	/**
	 * Creates an empty log.
	 * @param clockMillis the log's clock, epoch milliseconds
	 */
	public StandinLog(LongSupplier clockMillis) {
		this.clockMillis = clockMillis;
	}

	/**
	 * Sets what is kept; older records are trimmed at the next call.
	 * @param records the most records a stream keeps
	 * @param millis the longest time that a record is kept, in milliseconds
	 */
	public void retain(int records, long millis) {
		this.keepRecords = records;
		this.keepMillis = millis;
	}

	/**
	 * Switches an outage on or off: every call is refused without effect.
	 * @param refused whether calls are refused
	 */
	public void unavailable(boolean refused) {
		this.unavailable = refused;
	}

	/**
	 * Delays every call.
	 * @param millis the delay in milliseconds, 0 for none
	 */
	public void slow(long millis) {
		this.slowMillis = millis;
	}

	/**
	 * Breaks the connection of the next appends after they took effect.
	 * @param count the number of appends
	 */
	public void loseAnswers(int count) {
		this.answersToLose.set(count);
	}

	/**
	 * Returns the appends that took effect.
	 * @return a count of calls, not of records
	 */
	public long appends() {
		return this.appends.get();
	}

	/**
	 * Returns the records that a stream still holds.
	 * @param name the stream
	 * @return its records in order
	 */
	public List<LogRecord> records(String name) {
		synchronized (this.streams) {
			return List.copyOf(stream(name).records);
		}
	}

	/**
	 * Appends without HTTP.
	 * @param name the stream
	 * @param payloads the records
	 * @return the offset of the first
	 */
	public long append(String name, List<byte[]> payloads) {
		synchronized (this.streams) {
			Stream stream = stream(name);
			long first = stream.next();
			for (byte[] payload : payloads) {
				stream.records.add(new LogRecord(stream.next(), this.clockMillis.getAsLong(), payload));
			}
			this.appends.incrementAndGet();
			return first;
		}
	}

	@Override
	void handle(Exchange exchange) throws IOException, InterruptedException {
		Thread.sleep(this.slowMillis);
		if (this.unavailable) {
			exchange.refuse(503, "outage");
		}
		else if (!exchange.path().startsWith(PREFIX)) {
			exchange.refuse(404, "no such path");
		}
		else if ("POST".equals(exchange.method())) {
			append(exchange);
		}
		else if (exchange.path().endsWith("/bounds")) {
			exchange.answer(200, bounds(exchange.path().substring(PREFIX.length()).replace("/bounds", "")));
		}
		else {
			read(exchange);
		}
	}

	private void append(Exchange exchange) throws IOException {
		List<byte[]> payloads = exchange.json(Append.class).payloads();
		if (payloads.isEmpty() || payloads.stream().mapToInt((payload) -> payload.length).sum() > MAX_APPEND_BYTES) {
			exchange.refuse(413, "an append takes 1 record to " + MAX_APPEND_BYTES + " bytes");
			return;
		}
		long offset = append(exchange.path().substring(PREFIX.length()), payloads);
		if (this.answersToLose.getAndUpdate((left) -> Math.max(0, left - 1)) > 0) {
			exchange.breakConnection();
		}
		exchange.answer(200, Map.of("offset", offset));
	}

	private void read(Exchange exchange) throws IOException {
		String name = exchange.path().substring(PREFIX.length());
		long from = exchange.query("from", 0);
		LogStream.Bounds bounds = bounds(name);
		if (from < bounds.first()) {
			exchange.answer(410, bounds);
			return;
		}
		exchange.answer(200, Map.of("records", slice(name, from, exchange.query("max", 1000))));
	}

	private List<LogRecord> slice(String name, long from, long max) {
		synchronized (this.streams) {
			Stream stream = stream(name);
			int start = (int) Math.max(0, Math.min(from - stream.first, stream.records.size()));
			int end = (int) Math.min(start + max, stream.records.size());
			return List.copyOf(stream.records.subList(start, end));
		}
	}

	private LogStream.Bounds bounds(String name) {
		synchronized (this.streams) {
			Stream stream = stream(name);
			return new LogStream.Bounds(stream.first, stream.next());
		}
	}

	private Stream stream(String name) {
		Stream stream = this.streams.computeIfAbsent(name, (absent) -> new Stream());
		long now = this.clockMillis.getAsLong();
		int trimmed = 0;
		while (trimmed < stream.records.size() && (stream.records.size() - trimmed > this.keepRecords
				|| now - stream.records.get(trimmed).atMillis() > this.keepMillis)) {
			trimmed++;
		}
		stream.records.subList(0, trimmed).clear();
		stream.first += trimmed;
		return stream;
	}

	/**
	 * What an append sends. Immutable by convention.
	 *
	 * @param payloads the records
	 */
	record Append(List<byte[]> payloads) {
	}

	private static final class Stream {

		private final List<LogRecord> records = new ArrayList<>();

		private long first;

		private long next() {
			return this.first + this.records.size();
		}

	}

}
