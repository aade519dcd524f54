package io.sequoialink.entry;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;

import com.sun.net.httpserver.HttpServer;
import io.sequoialink.soak.SimulatedStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.provider.Arguments;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A complete entry host on loopback reads odd records, as another writer may leave them
 * in the store, before and among sound ones. Time limits are twice those set by the
 * platform, to allow for a busy machine.
 */
class OddRecordsTests {

	private static final long APPLY_MILLIS = 4000;

	private static final String LONG_NUMBER = "9".repeat(5000);

	private SimulatedStore store;

	private HttpServer backend;

	private LoopbackHost host;

	@BeforeEach
	void start() throws Exception {
		this.store = new SimulatedStore();
		this.backend = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
		this.backend.createContext("/", (exchange) -> {
			exchange.getResponseHeaders().set("X-Sequoialink-Server-Seal", "s");
			exchange.getResponseHeaders()
				.set("X-Sequoialink-Request-Id", exchange.getRequestHeaders().getFirst("X-Sequoialink-Request-Id"));
			exchange.sendResponseHeaders(200, -1);
			exchange.close();
		});
		this.backend.start();
		configure("1", "/a/");
		register("i-1", "ready");
		this.host = LoopbackHost.start("h1", this.store);
		Await.within(APPLY_MILLIS, () -> status("/a/x") == 200);
	}

	@AfterEach
	void stop() {
		this.host.host().stop();
		this.backend.stop(0);
		this.store.close();
	}

	private void configure(String version, String path) {
		this.store.put("op", "config",
				"{\"version\":" + version + ",\"routes\":[{\"name\":\"r\",\"host\":\"localhost\",\"path_prefix\":\""
						+ path + "\",\"kind\":\"idempotent\",\"service\":\"svc\",\"timeout_ms\":1000,"
						+ "\"max_attempts\":2}],\"services\":[{\"name\":\"svc\"}]}");
	}

	private String address() {
		return "127.0.0.1:" + this.backend.getAddress().getPort();
	}

	private void register(String id, String state) {
		this.store.put("servers", id, entry(address(), state, "8", "5", "0"));
	}

	private static String entry(String address, String state, String slots, String born, String coldLeft) {
		return "{\"service\":\"svc\",\"address\":\"" + address + "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":"
				+ slots + ",\"state\":\"" + state + "\",\"born\":" + born + ",\"cold_left_ms\":" + coldLeft + "}";
	}

	static Stream<Arguments> oddRecords() {
		List<String> texts = List.of("[".repeat(100_000), "{\"a\":".repeat(100_000), "7", "null", "{", "\"x\"", "[[]]",
				"{\"slots\":" + LONG_NUMBER + "}", "\u0000\uffff", "{\"version\":1e400}",
				"{\"host\":{},\"routes\":7,\"kept\":[\"zz\"]}");
		List<String> keys = List.of("servers odd", "op config", "op rollout/svc", "op other", "status rollout/svc",
				"status evidence/svc/h9", "status crash/h9", "status blocked/zz", "status blocked/12",
				"status host/h9");
		return keys.stream().flatMap((key) -> texts.stream().map((text) -> Arguments.of(key, text)));
	}

	private void writeOddRecords() {
		oddRecords().forEach((arguments) -> {
			String[] key = ((String) arguments.get()[0]).split(" ");
			this.store.put(key[0], key[1], (String) arguments.get()[1]);
		});
	}

	// Guards against a host that ends, or that stops following a topic, because another
	// writer left one odd entry there (processes that end by themselves, LOST).
	@Test
	void changesAreInForceAfterOddRecordsOfEachKind() {
		writeOddRecords();
		Await.sleep(500);
		configure("2", "/b/");
		Await.within(APPLY_MILLIS, () -> status("/b/x") == 200 && status("/a/x") == 404);
		register("i-1", "draining");
		Await.within(APPLY_MILLIS, () -> status("/b/x") == 503);
		register("i-2", "ready");
		Await.within(APPLY_MILLIS, () -> status("/b/x") == 200);
	}

	@Test
	void aHostStartsAmongOddRecordsOfEachKind() throws Exception {
		writeOddRecords();
		configure("2", "/b/");
		LoopbackHost started = LoopbackHost.start("h2", this.store);
		Await.within(APPLY_MILLIS, () -> {
			try {
				return started.get("/b/x") == 200;
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		});
		started.host().stop();
	}

	static Stream<Arguments> oddEntries() {
		return Stream.of(Arguments.of("127.0.0.1:0", "8", "5", "0"), Arguments.of("127.0.0.1:70000", "8", "5", "0"),
				Arguments.of("127.0.0.1:-1", "8", "5", "0"), Arguments.of("127.0.0.1:99999999999", "8", "5", "0"),
				Arguments.of("0.0.0.0:80", "8", "5", "0"), Arguments.of("", "2147483647", "5", "0"),
				Arguments.of("", "99999999999", "5", "0"), Arguments.of("", "8", "1e400", "0"),
				Arguments.of("", "8", "1.5", "0"), Arguments.of("", "8", "-1", "0"),
				Arguments.of("", "8", "99999999999999999999", "0"), Arguments.of("", "8", "\"5\"", "0"),
				Arguments.of("", "8", "5", "9223372036854775807"), Arguments.of("", "8", "5", "-9223372036854775808"),
				Arguments.of("", "8", "5", "1e999999999"));
	}

	// Guards against an odd entry that is used as a server: sums of its places, its start
	// time that no later one exceeds, connects to port 0.
	@Test
	void oddEntriesNameNoServerAndTheOthersHold() {
		oddEntries().forEach((entry) -> {
			Object[] values = entry.get();
			String odd = entry(values[0].toString().isEmpty() ? address() : values[0].toString(), "ready",
					values[1].toString(), values[2].toString(), values[3].toString());
			this.store.put("servers", "odd " + List.of(values), odd);
		});
		register("i-2", "ready");
		Await.within(APPLY_MILLIS, () -> this.host.metrics().contains("sequoialink_backend_servers 2.0"));
		assertThat(status("/a/x")).isEqualTo(200);
	}

	static Stream<String> oddConfigurations() {
		String rest = ",\"routes\":[],\"services\":[]}";
		return Stream.of("{\"version\":1e400" + rest, "{\"version\":9223372036854775808" + rest,
				"{\"version\":1.5" + rest, "{\"version\":-3" + rest, "{\"version\":\"9\"" + rest, "{\"version\":9}",
				"{\"version\":9,\"routes\":{},\"services\":[]}", "{\"version\":9,\"routes\":[],\"services\":7}",
				"{\"version\":9,\"routes\":[],\"services\":[],\"tenants\":\"none\"}",
				"{\"version\":0,\"routes\":[],\"services\":[]}", "{\"version\":1,\"routes\":[],\"services\":[]}");
	}

	// Guards against an invalid configuration that is taken, or that hides all later ones
	// by its version (CONFIG).
	@Test
	void invalidConfigurationsAreNotTakenAndHideNoLaterOne() {
		oddConfigurations().forEach((text) -> {
			this.store.put("op", "config", text);
			Await.sleep(300);
			assertThat(status("/a/x")).as(text).isEqualTo(200);
		});
		configure("2", "/b/");
		Await.within(APPLY_MILLIS, () -> status("/b/x") == 200);
	}

	@Test
	void oddDatagramsAreDropped() throws IOException {
		try (DatagramSocket socket = new DatagramSocket()) {
			for (String text : oddDatagrams().toList()) {
				byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
				socket.send(new DatagramPacket(bytes, bytes.length,
						new InetSocketAddress(InetAddress.getLoopbackAddress(), this.host.datagrams())));
			}
		}
		configure("2", "/b/");
		Await.within(APPLY_MILLIS, () -> status("/b/x") == 200);
	}

	static Stream<String> oddDatagrams() {
		return Stream.of("", "[".repeat(5000), "{\"a\":".repeat(5000),
				"{\"host\":\"h1\",\"topic\":\"op\",\"era\":9223372036854775807,\"from\":0,\"next\":9223372036854775807,"
						+ "\"whole\":true,\"changes\":[]}",
				"{\"host\":\"h0\",\"topic\":\"op\",\"from\":" + "9".repeat(1100) + ",\"next\":1}", "\u0001\u0002");
	}

	private int status(String path) {
		try {
			return this.host.get(path);
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
