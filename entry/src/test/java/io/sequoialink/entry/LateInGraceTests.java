package io.sequoialink.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import com.sun.net.httpserver.HttpExchange;
import io.sequoialink.soak.FreePorts;
import io.sequoialink.soak.SimulatedStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A planned stop of one entry host in calm: requests that arrive at various times of the
 * grace and whose server works for longer than what is left. Bytes at the socket.
 */
class LateInGraceTests {

	private static final long GRACE_MILLIS = 6000;

	/**
	 * Time at which a request begins that is complete only after the host has stopped
	 * listening.
	 */
	private static final long BEGIN_MILLIS = 2400;

	private static final long WORK_MILLIS = 20_000;

	private final ExecutorService clientThreads = Executors.newCachedThreadPool();

	private final List<String> arrivals = new CopyOnWriteArrayList<>();

	private SimulatedStore store;

	private LoopbackBackend backend;

	private EntryHost host;

	private int clients;

	@BeforeEach
	void start() throws Exception {
		this.store = new SimulatedStore();
		this.store.put("op", "config", "{\"version\":1,\"routes\":[" + route("safe", "idempotent") + ","
				+ route("once", "non_idempotent") + "],\"services\":[{\"name\":\"svc\",\"health_path\":\"/h\"}]}");
		this.backend = LoopbackBackend.start("i-1", this.store, this::work);
		InetAddress loopback = InetAddress.getLoopbackAddress();
		this.clients = FreePorts.tcp();
		this.host = new EntryHost(new EntrySettings("h", "a", new InetSocketAddress(loopback, this.clients),
				new InetSocketAddress(loopback, FreePorts.tcp()), this.store.address(), Optional.empty(), 8000,
				new EntrySettings.Bounds(GRACE_MILLIS, 2000, 2000, 0.9, 10, 10_000, 0.15, 30, 5000)));
		this.host.start();
		Await.within(10_000, () -> exchange("/safe/quick").startsWith("HTTP/1.1 200"));
		this.arrivals.clear();
	}

	private static String route(String name, String kind) {
		return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"path_prefix\":\"/" + name + "/\",\"kind\":\"" + kind
				+ "\",\"timeout_ms\":30000,\"max_attempts\":2,\"service\":\"svc\"}";
	}

	private void work(HttpExchange exchange) throws IOException {
		this.arrivals.add(exchange.getRequestURI().getPath());
		if (!exchange.getRequestURI().getPath().endsWith("quick")) {
			Await.sleep(WORK_MILLIS);
		}
		LoopbackBackend.answer(exchange);
	}

	@AfterEach
	void stop() {
		this.clientThreads.shutdownNow();
		this.backend.close();
		this.store.close();
	}

	private static String request(String path) {
		return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Sequoialink-Request-Id: r" + System.nanoTime()
				+ "\r\n\r\n";
	}

	private Socket connect() throws IOException {
		Socket socket = new Socket(InetAddress.getLoopbackAddress(), this.clients);
		socket.setSoTimeout((int) (2 * GRACE_MILLIS));
		return socket;
	}

	private String exchange(String path) {
		try (Socket socket = connect()) {
			write(socket, request(path));
			return readHead(socket);
		}
		catch (IOException ex) {
			return "<" + ex + ">";
		}
	}

	private static void write(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
	}

	private static String readHead(Socket socket) throws IOException {
		StringBuilder head = new StringBuilder();
		InputStream in = socket.getInputStream();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = in.read();
			if (next < 0) {
				return head + "<end>";
			}
			head.append((char) next);
		}
		return head.toString();
	}

	// Guards against requests that are taken late in the grace and cut at its end without
	// an
	// answer. After the time in which the host still listens, only a connection that was
	// opened before, and whose request was not complete, can bring one.
	@Test
	void requestsInTheGraceGetCompleteAnswers() throws Exception {
		List<Case> cases = List.of(new Case("/safe/a", 0.1, true, 504), new Case("/once/b", 0.1, true, 504),
				new Case("/once/c", 0.1, false, 504), new Case("/once/d", 0.4, true, 504),
				new Case("/once/e", 0.4, false, 504), new Case("/safe/f", 0.9, false, 503),
				new Case("/once/g", 0.5, false, 503), new Case("/once/h", 0.7, true, 503),
				new Case("/once/i", 0.9, false, 503));
		List<CompletableFuture<Answer>> answers = new ArrayList<>();
		CountDownLatch begin = new CountDownLatch(1);
		for (Case each : cases) {
			Socket socket = connect();
			if (each.kept()) {
				write(socket, request("/safe/quick"));
				assertThat(readHead(socket)).startsWith("HTTP/1.1 200");
			}
			answers.add(CompletableFuture.supplyAsync(() -> sendInGrace(socket, each, begin), this.clientThreads));
		}
		CompletableFuture<Long> stopping = CompletableFuture.supplyAsync(() -> {
			begin.countDown();
			this.host.stop();
			return System.nanoTime();
		}, this.clientThreads);
		for (int i = 0; i < cases.size(); i++) {
			Answer answer = answers.get(i).get(3 * GRACE_MILLIS, TimeUnit.MILLISECONDS);
			Case sent = cases.get(i);
			assertThat(answer.head()).as("%s", sent)
				.startsWith("HTTP/1.1 " + sent.status())
				.endsWith("\r\n\r\n")
				.containsIgnoringCase("connection: close");
			assertThat(this.arrivals.contains(sent.path())).as("%s passed on", sent).isEqualTo(sent.status() == 504);
			long stopped = stopping.get(3 * GRACE_MILLIS, TimeUnit.MILLISECONDS);
			assertThat(answer.atNanos() - stopped).as("%s answered before the process ends", sent).isNegative();
		}
	}

	private static Answer sendInGrace(Socket socket, Case sent, CountDownLatch begin) {
		try (socket) {
			begin.await();
			String text = request(sent.path());
			long millis = (long) (sent.part() * GRACE_MILLIS);
			if (millis > BEGIN_MILLIS) {
				Thread.sleep(BEGIN_MILLIS);
				write(socket, text.substring(0, 30));
				Thread.sleep(millis - BEGIN_MILLIS);
				write(socket, text.substring(30));
			}
			else {
				Thread.sleep(millis);
				write(socket, text);
			}
			return new Answer(readHead(socket), System.nanoTime());
		}
		catch (IOException | InterruptedException ex) {
			return new Answer("<" + ex + ">", System.nanoTime());
		}
	}

	/**
	 * A request in the grace. Immutable.
	 *
	 * @param path its path
	 * @param part part of the grace that is over when the request is complete
	 * @param kept whether its connection has carried another request before
	 * @param status expected status
	 */
	private record Case(String path, double part, boolean kept, int status) {
	}

	/**
	 * What a client got. Immutable.
	 *
	 * @param head head of the response
	 * @param atNanos monotonic time at which it was complete, in nanoseconds
	 */
	private record Answer(String head, long atNanos) {
	}

}
