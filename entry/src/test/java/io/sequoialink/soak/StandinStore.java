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
 * A small stand-in of the platform's store over loopback: keyed topics with one
 * partition. It can refuse, hang, forget its history and lose answers. Safe for threads.
 */
public final class StandinStore implements AutoCloseable {

	private final Map<String, List<Entry>> topics = new HashMap<>();

	private final Map<String, Integer> firsts = new HashMap<>();

	private final HttpServer server;

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private volatile Fault fault = Fault.NONE;

	/**
	 * Creates a store without records that listens on a free port.
	 * @throws IOException if it can't listen
	 */
	public StandinStore() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
		this.server.setExecutor(this.threads);
		this.server.createContext("/", this::serve);
		this.server.start();
	}

	/**
	 * Returns where the store listens.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return this.server.getAddress();
	}

	/**
	 * Changes how the store misbehaves, for calls that arrive from now on.
	 * @param now how it misbehaves
	 */
	public void fault(Fault now) {
		this.fault = now;
	}

	/**
	 * Writes a record as the operator or a server does.
	 * @param topic topic without its prefix
	 * @param key key of the record
	 * @param value its value; empty to drop the key
	 */
	public synchronized void put(String topic, String key, String value) {
		append("keyed." + topic, key, value.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Forgets all records of a topic but the newest of each key.
	 * @param topic topic without its prefix
	 */
	public synchronized void forgetHistory(String topic) {
		this.firsts.put("keyed." + topic, log("keyed." + topic).size());
	}

	/**
	 * Returns all values that were written under a key.
	 * @param topic topic without its prefix
	 * @param key the key
	 * @return the values in their order
	 */
	public synchronized List<String> values(String topic, String key) {
		return log("keyed." + topic).stream()
			.filter((entry) -> entry.key().equals(key))
			.map((entry) -> new String(entry.value(), StandardCharsets.UTF_8))
			.toList();
	}

	private int append(String topic, String key, byte[] value) {
		log(topic).add(new Entry(key, value));
		notifyAll();
		return log(topic).size() - 1;
	}

	private List<Entry> log(String topic) {
		return this.topics.computeIfAbsent(topic, (name) -> new ArrayList<>());
	}

	private void serve(HttpExchange exchange) throws IOException {
		try (exchange) {
			if (this.fault == Fault.SILENT) {
				sleep(4000);
				return;
			}
			if (this.fault == Fault.BUSY || this.fault == Fault.TOO_MANY) {
				answer(exchange, (this.fault == Fault.BUSY) ? 503 : 429, new byte[0]);
				return;
			}
			Map<String, String> query = query(exchange);
			switch (exchange.getRequestURI().getPath()) {
				case "/-/log-newest" -> answer(exchange, 200, newest(query.get("topic")));
				case "/-/log-read" -> read(exchange, query);
				case "/-/log-append" -> append(exchange, query);
				default -> answer(exchange, 404, new byte[0]);
			}
		}
	}

	private synchronized byte[] newest(String topic) {
		Map<String, String> items = new LinkedHashMap<>();
		int offset = 0;
		for (Entry entry : log(topic)) {
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

	private void read(HttpExchange exchange, Map<String, String> query) throws IOException {
		String topic = query.get("topic");
		int from = Integer.parseInt(query.get("from"));
		long until = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000L;
		byte[] body;
		boolean deaf = this.fault == Fault.DEAF;
		synchronized (this) {
			int known = log(topic).size();
			while ((deaf || log(topic).size() <= from) && System.nanoTime() < until) {
				await((until - System.nanoTime()) / 1_000_000L + 1);
			}
			if (from < this.firsts.getOrDefault(topic, 0)) {
				answer(exchange, 410, ("{\"first\":" + this.firsts.get(topic) + "}").getBytes(StandardCharsets.UTF_8));
				return;
			}
			body = records(topic, from, deaf ? known : log(topic).size());
		}
		answer(exchange, 200, body);
	}

	private byte[] records(String topic, int from, int to) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		DataOutputStream out = new DataOutputStream(bytes);
		out.writeLong(to);
		out.writeLong(this.firsts.getOrDefault(topic, 0));
		for (int i = from; i < to; i++) {
			Entry entry = log(topic).get(i);
			byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
			out.writeInt(1 + key.length + entry.value().length);
			out.writeByte(key.length);
			out.write(key);
			out.write(entry.value());
		}
		return bytes.toByteArray();
	}

	private void append(HttpExchange exchange, Map<String, String> query) throws IOException {
		ByteBuffer body = ByteBuffer.wrap(exchange.getRequestBody().readAllBytes());
		String topic = query.get("topic");
		int offset;
		synchronized (this) {
			if (query.containsKey("at") && Integer.parseInt(query.get("at")) != log(topic).size()) {
				answer(exchange, 412, ("{\"end\":" + log(topic).size() + "}").getBytes(StandardCharsets.UTF_8));
				return;
			}
			int length = body.getInt();
			byte[] key = new byte[body.get()];
			body.get(key);
			byte[] value = new byte[length - 1 - key.length];
			body.get(value);
			offset = append(topic, new String(key, StandardCharsets.UTF_8), value);
		}
		answer(exchange, 200,
				("{\"offset\":" + offset + ",\"end\":" + (offset + 1) + "}").getBytes(StandardCharsets.UTF_8));
	}

	private static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
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
		this.threads.shutdownNow();
	}

	/** How the store misbehaves. */
	public enum Fault {

		/** Answers as it should. */
		NONE,

		/** Answers 503. */
		BUSY,

		/** Answers 429. */
		TOO_MANY,

		/** Answers nothing. */
		SILENT,

		/** Reads bring no new record. */
		DEAF

	}

	private record Entry(String key, byte[] value) {
	}

}
