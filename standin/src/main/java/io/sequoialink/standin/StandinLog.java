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
 * Simulates the platform's append-only log and keeps all records in memory. Outages,
 * delays and lost responses can be switched on while it runs. Thread-safe; the streams
 * are guarded by the monitor of the map that holds them.
 */
public final class StandinLog extends StandinServer {

	/** The largest total size of the payloads of one append, in bytes. */
	public static final int MAX_APPEND_BYTES = 1024 * 1024;

	private static final String STREAM_PATH_PREFIX = "/v1/streams/";

	private final Map<String, Stream> streams = new TreeMap<>();

	private final LongSupplier clockMillis;

	private final AtomicInteger responsesToDrop = new AtomicInteger();

	private final AtomicLong appendCount = new AtomicLong();

	private volatile boolean unavailable;

	private volatile long delayMillis;

	private volatile int maxRecords = Integer.MAX_VALUE;

	private volatile long maxAgeMillis = Long.MAX_VALUE;

	/**
	 * Creates an empty log.
	 * @param clockMillis clock that stamps records and measures their age, epoch
	 * milliseconds
	 */
	public StandinLog(LongSupplier clockMillis) {
		this.clockMillis = clockMillis;
	}

	/**
	 * Sets the retention of all streams. Records beyond it are trimmed when their stream
	 * is next used.
	 * @param records the largest number of records in a stream
	 * @param millis the largest age of a record, in milliseconds
	 */
	public void setRetention(int records, long millis) {
		this.maxRecords = records;
		this.maxAgeMillis = millis;
	}

	/**
	 * Starts or ends an outage, during which every call is rejected without effect.
	 * @param unavailable whether calls are rejected
	 */
	public void setUnavailable(boolean unavailable) {
		this.unavailable = unavailable;
	}

	/**
	 * Delays the handling of every call.
	 * @param millis the delay in milliseconds, 0 for none
	 */
	public void setDelay(long millis) {
		this.delayMillis = millis;
	}

	/**
	 * Closes the connection of the next appends after their records were stored, so that
	 * the caller gets no response.
	 * @param count the number of appends
	 */
	public void dropResponses(int count) {
		this.responsesToDrop.set(count);
	}

	/**
	 * Returns how many appends stored their records.
	 * @return the number of append calls, not of records
	 */
	public long appendCount() {
		return this.appendCount.get();
	}

	/**
	 * Returns the records of a stream that are not trimmed.
	 * @param name the name of the stream
	 * @return the records by ascending offset
	 */
	public List<LogRecord> records(String name) {
		synchronized (this.streams) {
			return List.copyOf(trimmedStream(name).records);
		}
	}

	/**
	 * Appends records directly, without an HTTP call and without faults.
	 * @param name the name of the stream
	 * @param payloads the payloads of the records
	 * @return the offset of the first record appended
	 */
	public long append(String name, List<byte[]> payloads) {
		synchronized (this.streams) {
			Stream stream = trimmedStream(name);
			long first = stream.nextOffset();
			for (byte[] payload : payloads) {
				stream.records.add(new LogRecord(stream.nextOffset(), this.clockMillis.getAsLong(), payload));
			}
			this.appendCount.incrementAndGet();
			return first;
		}
	}

	@Override
	void handle(Exchange exchange) throws IOException, InterruptedException {
		Thread.sleep(this.delayMillis);
		if (this.unavailable) {
			exchange.rejectUnexecuted(503, "outage");
		}
		else if (!exchange.path().startsWith(STREAM_PATH_PREFIX)) {
			exchange.rejectUnexecuted(404, "no such path");
		}
		else if ("POST".equals(exchange.method())) {
			append(exchange);
		}
		else if (exchange.path().endsWith("/bounds")) {
			exchange.respond(200,
					bounds(exchange.path().substring(STREAM_PATH_PREFIX.length()).replace("/bounds", "")));
		}
		else {
			read(exchange);
		}
	}

	private void append(Exchange exchange) throws IOException {
		List<byte[]> payloads = exchange.readJson(AppendRequest.class).payloads();
		if (payloads.isEmpty() || payloads.stream().mapToInt((payload) -> payload.length).sum() > MAX_APPEND_BYTES) {
			exchange.rejectUnexecuted(413, "an append takes 1 record to " + MAX_APPEND_BYTES + " bytes");
			return;
		}
		long offset = append(exchange.path().substring(STREAM_PATH_PREFIX.length()), payloads);
		if (this.responsesToDrop.getAndUpdate((remaining) -> Math.max(0, remaining - 1)) > 0) {
			exchange.breakConnection();
		}
		exchange.respond(200, Map.of("offset", offset));
	}

	private void read(Exchange exchange) throws IOException {
		String name = exchange.path().substring(STREAM_PATH_PREFIX.length());
		long from = exchange.queryParameter("from", 0);
		LogStream.Bounds bounds = bounds(name);
		if (from < bounds.first()) {
			exchange.respond(410, bounds);
			return;
		}
		exchange.respond(200, Map.of("records", readRecords(name, from, exchange.queryParameter("max", 1000))));
	}

	private List<LogRecord> readRecords(String name, long from, long max) {
		synchronized (this.streams) {
			Stream stream = trimmedStream(name);
			int start = (int) Math.max(0, Math.min(from - stream.firstOffset, stream.records.size()));
			int end = (int) Math.min(start + max, stream.records.size());
			return List.copyOf(stream.records.subList(start, end));
		}
	}

	private LogStream.Bounds bounds(String name) {
		synchronized (this.streams) {
			Stream stream = trimmedStream(name);
			return new LogStream.Bounds(stream.firstOffset, stream.nextOffset());
		}
	}

	private Stream trimmedStream(String name) {
		Stream stream = this.streams.computeIfAbsent(name, (absent) -> new Stream());
		long now = this.clockMillis.getAsLong();
		int trimmed = 0;
		while (trimmed < stream.records.size() && (stream.records.size() - trimmed > this.maxRecords
				|| now - stream.records.get(trimmed).atMillis() > this.maxAgeMillis)) {
			trimmed++;
		}
		stream.records.subList(0, trimmed).clear();
		stream.firstOffset += trimmed;
		return stream;
	}

	/**
	 * JSON body of an append. Not modified once it is read.
	 *
	 * @param payloads the payloads of the records to append
	 */
	record AppendRequest(List<byte[]> payloads) {
	}

	private static final class Stream {

		private final List<LogRecord> records = new ArrayList<>();

		private long firstOffset;

		private long nextOffset() {
			return this.firstOffset + this.records.size();
		}

	}

}
