package io.sequoialink.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import com.sun.net.httpserver.HttpExchange;
import io.sequoialink.soak.SimulatedStore;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs an entry host as a process with little memory and few descriptors, and crowds of
 * clients outside the limits in front of it. The host must live, stay within bounds, and
 * serve ordinary requests while the crowd is there and after it has left. A host that
 * passed a test serves the next one too; after a failure a new one is started.
 */
class ClientsOutsideLimitsTests {

	private static final ConstrainedHost.Limits LIMITS = new ConstrainedHost.Limits(64, 32, 600);

	/**
	 * Heap and direct memory, and 104 MiB for code, classes, stacks and the JVM itself.
	 */
	private static final long MAX_RESIDENT_MEBIBYTES = 200;

	private static final long MAX_DESCRIPTORS = 560;

	/** Descriptors that may be open when the crowd has left. */
	private static final long MAX_IDLE_DESCRIPTORS = 100;

	/** Time for which a crowd stays, in milliseconds. */
	private static final long STAY_MILLIS = 800;

	/** Time in which a host must be ready, in milliseconds. */
	private static final long MAX_START_MILLIS = 10_000;

	/**
	 * Time in which an ordinary request must be served at some try, in milliseconds.
	 */
	private static final long MAX_WAIT_MILLIS = 5000;

	private static final int SMALL_BODY = 600;

	private static final int LARGE_ANSWER = 6 << 20;

	@TempDir
	private static Path directory;

	private static final List<LoopbackBackend> backends = new ArrayList<>();

	private static SimulatedStore store;

	private static ConstrainedHost host;

	private static boolean hostPassed;

	private long residentMebibytes;

	private long descriptors;

	@BeforeAll
	static void startServers() throws IOException {
		store = new SimulatedStore();
		store.put("op", "config",
				"{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"127.0.0.1\",\"path_prefix\":\"/r/\","
						+ "\"kind\":\"idempotent\",\"timeout_ms\":3000,\"max_attempts\":2,\"service\":\"svc\"}],"
						+ "\"services\":[{\"name\":\"svc\",\"health_path\":\"/h\"}],"
						+ "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":" + ClientCrowd.MAX_BODY
						+ ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
		for (int number = 1; number <= 2; number++) {
			backends.add(LoopbackBackend.start("i-" + number, store, ClientsOutsideLimitsTests::answer));
		}
	}

	private static void answer(HttpExchange exchange) throws IOException {
		exchange.getRequestBody().readAllBytes();
		exchange.getResponseHeaders().set("X-Sequoialink-Server-Seal", "s");
		String id = exchange.getRequestHeaders().getFirst("X-Sequoialink-Request-Id");
		exchange.getResponseHeaders().set("X-Sequoialink-Request-Id", id);
		boolean large = "large".equals(exchange.getRequestURI().getQuery());
		exchange.sendResponseHeaders(200, large ? LARGE_ANSWER : 2);
		try (OutputStream body = exchange.getResponseBody()) {
			body.write(new byte[large ? LARGE_ANSWER : 2]);
		}
	}

	@AfterAll
	static void stopServers() throws IOException {
		host.close();
		backends.forEach(LoopbackBackend::close);
		store.close();
	}

	@BeforeEach
	void startHostUnlessPassed() throws IOException {
		if (host != null && hostPassed) {
			hostPassed = false;
			return;
		}
		if (host != null) {
			host.close();
		}
		host = new ConstrainedHost(directory, store.address(), LIMITS);
		Await.within(MAX_START_MILLIS, () -> host.ready() && servesOrdinaryRequests());
	}

	static Stream<Arguments> crowds() {
		Stream<Arguments> all = Stream.of(ClientCrowd.Kind.values())
			.filter((kind) -> kind != ClientCrowd.Kind.PIPELINED_LARGE)
			.flatMap((kind) -> Stream.of("/r/x", "/none/x", "/-/readiness").map((path) -> Arguments.of(kind, path)));
		return Stream.concat(all, Stream.of(Arguments.of(ClientCrowd.Kind.PIPELINED, "/metrics"),
				Arguments.of(ClientCrowd.Kind.PIPELINED_LARGE, "/r/x")));
	}

	// Guards against clients outside the limits that end the process, make its event loop
	// sleep until direct memory is free, or leave it without memory or descriptors for
	// ordinary clients.
	@ParameterizedTest
	@MethodSource("crowds")
	void ordinaryRequestsAreServedBesideAndAfterACrowd(ClientCrowd.Kind kind, String path) {
		int port = (path.startsWith("/-/") || path.equals("/metrics")) ? host.readiness() : host.clients();
		try (ClientCrowd crowd = new ClientCrowd(kind, port, path)) {
			observeFor(STAY_MILLIS);
			Await.within(MAX_WAIT_MILLIS, () -> observe() && servesOrdinaryRequests());
		}
		Await.within(MAX_WAIT_MILLIS, () -> observe() && servesOrdinaryRequests() && host.ready()
				&& host.descriptors() <= MAX_IDLE_DESCRIPTORS);
		assertWithinBounds();
		hostPassed = true;
	}

	// Guards against a memory limit that refuses what the limits of the configuration
	// permit, and against one that 16 of the largest requests at once exceed.
	@Test
	void largestRequestIsServedInCalmAndSixteenAtOnceDoNoHarm() {
		Await.within(MAX_WAIT_MILLIS, () -> host.serves("/r/x", ClientCrowd.MAX_BODY));
		List<CompletableFuture<Boolean>> requests = Stream.generate(
				() -> CompletableFuture.supplyAsync(() -> host.serves("/r/x", ClientCrowd.MAX_BODY), this::startThread))
			.limit(16)
			.toList();
		requests.forEach((request) -> {
			request.join();
			observe();
		});
		Await.within(MAX_WAIT_MILLIS, () -> observe() && servesOrdinaryRequests());
		Await.within(MAX_WAIT_MILLIS, () -> host.serves("/r/x", ClientCrowd.MAX_BODY));
		assertWithinBounds();
		hostPassed = true;
	}

	// Guards against a limit that a head of the permitted size with many fields exceeds.
	@Test
	void largestHeadIsServedInCalm() throws IOException {
		StringBuilder head = new StringBuilder("GET /r/x HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n")
			.append("X-Sequoialink-Request-Id: head")
			.append(System.nanoTime())
			.append("\r\n");
		head.append("a:\r\n".repeat(3900)).append("\r\n");
		Await.within(MAX_WAIT_MILLIS, host::calm);
		try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), host.clients())) {
			socket.setSoTimeout((int) MAX_WAIT_MILLIS);
			socket.getOutputStream().write(head.toString().getBytes());
			assertThat(new String(socket.getInputStream().readAllBytes())).startsWith("HTTP/1.1 200 ");
		}
		hostPassed = true;
	}

	private void startThread(Runnable work) {
		Thread thread = new Thread(work, "client");
		thread.setDaemon(true);
		thread.start();
	}

	private static boolean servesOrdinaryRequests() {
		return host.serves("/r/x", 0) && host.serves("/r/x", SMALL_BODY);
	}

	private void observeFor(long millis) {
		long until = System.nanoTime() + millis * 1_000_000L;
		while (System.nanoTime() < until) {
			observe();
			Await.sleep(50);
		}
	}

	private boolean observe() {
		assertThat(host.alive()).as("the process lives; last lines: %s", host.lastLines()).isTrue();
		this.residentMebibytes = Math.max(this.residentMebibytes, host.residentMebibytes());
		this.descriptors = Math.max(this.descriptors, host.descriptors());
		return true;
	}

	private void assertWithinBounds() {
		assertThat(this.residentMebibytes).as("resident memory in MiB").isBetween(1L, MAX_RESIDENT_MEBIBYTES);
		assertThat(this.descriptors).as("open descriptors").isBetween(1L, MAX_DESCRIPTORS);
		assertThat(host.lastLines()).as("last lines").doesNotContain("OutOfMemoryError");
	}

}
