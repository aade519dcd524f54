package io.sequoialink.soak;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * Simulates the store of the platform over HTTP on loopback: topics with keys and one
 * partition. Can reject calls, hang, truncate its history, hold back new records and
 * return from an older copy. Every response names the era, which rises with each return.
 * Thread-safe.
 */
public final class SimulatedStore implements AutoCloseable {

	private final Map<String, List<Entry>> topics = new HashMap<>();

	private final Map<String, Integer> firstOffsets = new HashMap<>();

	private final HttpServer server;

	private final ExecutorService executor = Executors.newCachedThreadPool();

	private volatile Fault fault = Fault.NONE;

	private volatile long era = 1;

	/**
	 * Creates an empty store that listens on a free port.
	 * @throws IOException if the port can't be opened
	 */
	public SimulatedStore() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
		this.server.setExecutor(this.executor);
		this.server.createContext("/", this::serve);
		this.server.start();
	}

	/**
	 * Returns the address on which the store listens.
	 * @return address on loopback
	 */
	public InetSocketAddress address() {
		return this.server.getAddress();
	}

	/**
	 * Sets the fault that applies to calls from now on.
	 * @param newFault the fault, {@link Fault#NONE} to end it
	 */
	public void setFault(Fault newFault) {
		this.fault = newFault;
	}

	/**
	 * Appends a record, as the operator or a backend server does.
	 * @param topic name of the topic without the prefix "keyed."
	 * @param key key of the record
	 * @param value value of the record; empty to delete the key
	 */
	public synchronized void put(String topic, String key, String value) {
		appendRecord("keyed." + topic, key, value.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Truncates the history of a topic: reads that start before the current end fail with
	 * status 410, while the newest record of each key can still be read.
	 * @param topic name of the topic without the prefix "keyed."
	 */
	public synchronized void truncateHistory(String topic) {
		this.firstOffsets.put("keyed." + topic, records("keyed." + topic).size());
	}

	/**
	 * Returns from an older copy: all records written since are lost, their offsets are
	 * given out again, and the era rises by one. Reads that wait get no response.
	 * @param ageMillis age of the copy in milliseconds
	 */
	public synchronized void returnFromCopy(long ageMillis) {
		long copied = System.nanoTime() - ageMillis * 1_000_000L;
		this.topics.values().forEach((records) -> records.removeIf((entry) -> entry.writtenNanos() - copied > 0));
		this.firstOffsets.replaceAll((topic, first) -> Math.min(first, records(topic).size()));
		this.era++;
		notifyAll();
	}

	/**
	 * Returns from a copy that has only the first records of a topic.
	 * @param topic name of the topic without the prefix "keyed."
	 * @param records number of records in the copy
	 */
	public synchronized void returnFromCopyWith(String topic, int records) {
		List<Entry> log = records("keyed." + topic);
		log.subList(Math.min(records, log.size()), log.size()).clear();
		returnFromCopy(0);
	}

	/**
	 * Returns the keys that have a value.
	 * @param topic name of the topic without the prefix "keyed."
	 * @return the keys
	 */
	public synchronized List<String> keys(String topic) {
		Map<String, Boolean> present = new LinkedHashMap<>();
		records("keyed." + topic).forEach((entry) -> present.put(entry.key(), entry.value().length > 0));
		return present.keySet().stream().filter(present::get).toList();
	}

	/**
	 * Returns all values that were written under a key, truncated ones included.
	 * @param topic name of the topic without the prefix "keyed."
	 * @param key the key
	 * @return the values, oldest first
	 */
	public synchronized List<String> values(String topic, String key) {
		return records("keyed." + topic).stream()
			.filter((entry) -> entry.key().equals(key))
			.map((entry) -> new String(entry.value(), StandardCharsets.UTF_8))
			.toList();
	}

	private int appendRecord(String topic, String key, byte[] value) {
		records(topic).add(new Entry(key, value, System.nanoTime()));
		notifyAll();
		return records(topic).size() - 1;
	}

	private List<Entry> records(String topic) {
		return this.topics.computeIfAbsent(topic, (name) -> new ArrayList<>());
	}

	private void serve(HttpExchange exchange) throws IOException {
		try (exchange) {
			exchange.getResponseHeaders().set(HeaderNames.STORE_ERA, String.valueOf(this.era));
			if (this.fault == Fault.SILENT) {
				sleep(4000);
				return;
			}
			if (this.fault == Fault.BUSY || this.fault == Fault.TOO_MANY) {
				respond(exchange, (this.fault == Fault.BUSY) ? 503 : 429, new byte[0]);
				return;
			}
			Map<String, String> query = query(exchange);
			switch (exchange.getRequestURI().getPath()) {
				case "/-/log-newest" -> respond(exchange, 200, newestPage(query.get("topic")));
				case "/-/log-read" -> handleRead(exchange, query);
				case "/-/log-append" -> appendRecord(exchange, query);
				default -> respond(exchange, 404, new byte[0]);
			}
		}
	}

	private synchronized byte[] newestPage(String topic) {
		Map<String, String> items = new LinkedHashMap<>();
		int offset = 0;
		for (Entry entry : records(topic)) {
			items.remove(entry.key());
			if (entry.value().length > 0) {
				items.put(entry.key(), "{\"key\":\"" + entry.key() + "\",\"value\":\""
						+ Base64.getEncoder().encodeToString(entry.value()) + "\",\"offset\":" + offset + "}");
			}
			offset++;
		}
		return ("{\"items\":[" + String.join(",", items.values()) + "],\"truncated\":false,\"end\":" + offset + "}")
			.getBytes(StandardCharsets.UTF_8);
	}

	private void handleRead(HttpExchange exchange, Map<String, String> query) throws IOException {
		String topic = query.get("topic");
		int from = Integer.parseInt(query.get("from"));
		long until = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000L;
		byte[] body;
		boolean noNewRecords = this.fault == Fault.DEAF;
		synchronized (this) {
			int known = records(topic).size();
			long eraAtStart = this.era;
			while (eraAtStart == this.era && from <= records(topic).size()
					&& (noNewRecords || records(topic).size() == from) && System.nanoTime() < until) {
				await((until - System.nanoTime()) / 1_000_000L + 1);
			}
			if (eraAtStart != this.era) {
				return;
			}
			if (from > records(topic).size()) {
				respond(exchange, 410, "{\"first\":0}".getBytes(StandardCharsets.UTF_8));
				return;
			}
			if (from < this.firstOffsets.getOrDefault(topic, 0)) {
				respond(exchange, 410,
						("{\"first\":" + this.firstOffsets.get(topic) + "}").getBytes(StandardCharsets.UTF_8));
				return;
			}
			body = encodeRecords(topic, from, noNewRecords ? known : records(topic).size());
		}
		respond(exchange, 200, body);
	}

	private byte[] encodeRecords(String topic, int from, int to) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		DataOutputStream out = new DataOutputStream(bytes);
		out.writeLong(to);
		out.writeLong(this.firstOffsets.getOrDefault(topic, 0));
		for (int i = from; i < to; i++) {
			Entry entry = records(topic).get(i);
			byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
			out.writeInt(1 + key.length + entry.value().length);
			out.writeByte(key.length);
			out.write(key);
			out.write(entry.value());
		}
		return bytes.toByteArray();
	}

	private void appendRecord(HttpExchange exchange, Map<String, String> query) throws IOException {
		ByteBuffer body = ByteBuffer.wrap(exchange.getRequestBody().readAllBytes());
		String topic = query.get("topic");
		int offset;
		synchronized (this) {
			if (query.containsKey("at") && Integer.parseInt(query.get("at")) != records(topic).size()) {
				respond(exchange, 412, ("{\"end\":" + records(topic).size() + "}").getBytes(StandardCharsets.UTF_8));
				return;
			}
			int length = body.getInt();
			byte[] key = new byte[body.get()];
			body.get(key);
			byte[] value = new byte[length - 1 - key.length];
			body.get(value);
			offset = appendRecord(topic, new String(key, StandardCharsets.UTF_8), value);
		}
		respond(exchange, 200,
				("{\"offset\":" + offset + ",\"end\":" + (offset + 1) + "}").getBytes(StandardCharsets.UTF_8));
	}

	private static void respond(HttpExchange exchange, int status, byte[] body) throws IOException {
		exchange.sendResponseHeaders(status, (body.length == 0) ? -1 : body.length);
		exchange.getResponseBody().write(body);
	}

	private static Map<String, String> query(HttpExchange exchange) {
		Map<String, String> query = new HashMap<>();
		for (String part : exchange.getRequestURI().getRawQuery().split("&")) {
			String[] pair = part.split("=", 2);
			query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
		}
		return query;
	}

	private void await(long millis) {
		try {
			wait(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.executor.shutdownNow();
	}

	/** Fault of the store. */
	public enum Fault {

		/** Works correctly. */
		NONE,

		/** Responds with status 503. */
		BUSY,

		/** Responds with status 429. */
		TOO_MANY,

		/** Does not respond for 4 seconds, then closes the connection. */
		SILENT,

		/**
		 * Reads take their full wait time and return only records that existed at their
		 * start.
		 */
		DEAF

	}

	private record Entry(String key, byte[] value, long writtenNanos) {
	}

}
