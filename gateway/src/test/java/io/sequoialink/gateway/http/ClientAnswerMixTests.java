package io.sequoialink.gateway.http;

import java.io.BufferedInputStream;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Many requests over few connections of clients and servers, in random order. Guards
 * against an answer that is another's, or that is not what the server wrote: a success
 * where it had failed, a second answer, a changed body, or another request's (MIXED).
 */
class ClientAnswerMixTests {

	private static final Logger logger = LoggerFactory.getLogger(ClientAnswerMixTests.class);

	private static final int CLIENTS = 6;

	private static final int BATCHES = Integer.getInteger("sequoialink.test.batches", 40);

	/** Longer than it takes until a path that returned is found. */
	private static final int CUT_MILLIS = 700;

	private static final int[] PIPELINED = { 1, 1, 2, 6 };

	private static final String[] ROUTES = { "/safe/", "/safe/", "/once/", "/brief/" };

	// Answers that are queued behind others, clients that leave or read slowly, and
	// deadlines that pass while servers are silent.
	@ParameterizedTest
	@ValueSource(longs = { 60601, 60602, 60603 })
	@Timeout(180)
	void everyAnswerIsWhatAServerWroteForItsRequest(long seed) throws Exception {
		AnsweringServers servers = new AnsweringServers(seed);
		try (GatewayFixture fixture = GatewayFixture.withServers(servers, servers, servers)) {
			play(fixture, servers, seed);
		}
	}

	// The same while the host's own path to the servers breaks and returns, so that
	// connections go through another host and are left again.
	@ParameterizedTest
	@ValueSource(longs = 60604)
	@Timeout(180)
	void everyAnswerIsTheServersAlsoThroughAnotherHost(long seed) throws Exception {
		AnsweringServers servers = new AnsweringServers(seed);
		ScheduledExecutorService breaks = Executors.newSingleThreadScheduledExecutor();
		AtomicBoolean cut = new AtomicBoolean();
		try (GatewayFixture fixture = GatewayFixture.withServers(servers, servers, servers)) {
			fixture.startHelpingHost();
			breaks.scheduleAtFixedRate(() -> {
				cut.set(!cut.get());
				fixture.setCutOff(cut.get());
			}, 0, CUT_MILLIS, TimeUnit.MILLISECONDS);
			play(fixture, servers, seed);
		}
		finally {
			breaks.shutdownNow();
		}
	}

	private static void play(GatewayFixture fixture, AnsweringServers servers, long seed) throws Exception {
		Tally tally = new Tally(servers);
		ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
		try {
			List<Future<?>> running = new ArrayList<>();
			for (int i = 0; i < CLIENTS; i++) {
				MixClient client = new MixClient(fixture.frontend().port(), "c" + i, seed + i, tally);
				running.add(clients.submit(client::run));
			}
			for (Future<?> client : running) {
				client.get();
			}
		}
		finally {
			clients.shutdownNow();
		}
		logger.info("seed {}: {}, {} runs, {} second answers, connections through another host {}", seed, tally,
				servers.runs(), servers.secondAnswers(), fixture.counts().tunnels().counts());
		assertThat(tally.wrong).isEmpty();
		assertThat(servers.changedRequests()).isEmpty();
		assertThat(tally.successes.get()).isGreaterThan(3 * CLIENTS * BATCHES / 4);
		assertThat(tally.failures.get()).isGreaterThan(CLIENTS * BATCHES / 40);
		assertThat(servers.secondAnswers()).isGreaterThan(CLIENTS * BATCHES / 10);
	}

	/**
	 * Compares answers with what the servers wrote, and counts them.
	 */
	private static final class Tally {

		private final AnsweringServers servers;

		private final List<String> wrong = new CopyOnWriteArrayList<>();

		private final AtomicInteger successes = new AtomicInteger();

		private final AtomicInteger failures = new AtomicInteger();

		private final AtomicInteger own = new AtomicInteger();

		private final AtomicInteger left = new AtomicInteger();

		private Tally(AnsweringServers servers) {
			this.servers = servers;
		}

		private void check(String id, String answer) {
			String fault = fault(id, answer);
			if (fault != null) {
				this.wrong.add(id + ": " + fault);
			}
		}

		private String fault(String id, String answer) {
			if (answer == null) {
				return "connection ended without an answer";
			}
			if (answer.endsWith("<cut>")) {
				return "answer was cut after " + answer.length() + " bytes";
			}
			if (!id.equals(RawHttp.header(answer, "id"))) {
				return "answer of " + RawHttp.header(answer, "id");
			}
			int status = RawHttp.status(answer);
			String seal = RawHttp.header(answer, "seal");
			if (seal == null) {
				this.own.incrementAndGet();
				return (status / 100 == 5) ? null : "status " + status + " without a seal";
			}
			((status == 200) ? this.successes : this.failures).incrementAndGet();
			return faultOfSealed(id, status, this.servers.written(seal), RawHttp.body(answer));
		}

		private static String faultOfSealed(String id, int status, AnsweringServers.Written written, String body) {
			if (written == null) {
				return "a second answer, status " + status;
			}
			if (!written.id().equals(id) || written.status() != status) {
				return "status " + status + " where the server wrote " + written;
			}
			return written.body().equals(body) ? null
					: "body of " + body.length() + " bytes where the server wrote " + written.body().length();
		}

		@Override
		public String toString() {
			return this.successes + " successes, " + this.failures + " failures of servers, " + this.own
					+ " of the host, " + this.left + " left unread, " + this.wrong.size() + " wrong";
		}

	}

	/**
	 * One client with one connection at a time.
	 */
	private static final class MixClient {

		private final int port;

		private final String name;

		private final SplittableRandom random;

		private final Tally tally;

		private int lastId;

		private Socket socket;

		private InputStream in;

		private MixClient(int port, String name, long seed, Tally tally) {
			this.port = port;
			this.name = name;
			this.random = new SplittableRandom(seed);
			this.tally = tally;
		}

		private Void run() throws IOException {
			for (int i = 0; i < BATCHES; i++) {
				if (this.socket == null) {
					connect();
				}
				try {
					batch();
				}
				catch (IOException ex) {
					this.tally.wrong.add(this.name + '.' + this.lastId + ": " + ex);
					close();
				}
			}
			close();
			return null;
		}

		private void connect() throws IOException {
			boolean slow = this.random.nextInt(4) == 0;
			this.socket = new Socket();
			if (slow) {
				this.socket.setReceiveBufferSize(8192);
			}
			this.socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), this.port));
			this.socket.setSoTimeout(20_000);
			InputStream input = this.socket.getInputStream();
			this.in = new BufferedInputStream(slow ? new SlowInput(input) : input);
		}

		private void batch() throws IOException {
			int size = PIPELINED[this.random.nextInt(PIPELINED.length)];
			boolean last = this.random.nextInt(8) == 0;
			List<String> ids = new ArrayList<>();
			StringBuilder requests = new StringBuilder();
			for (int i = 0; i < size; i++) {
				String id = this.name + '.' + ++this.lastId;
				ids.add(id);
				requests.append(request(id, last && i == size - 1));
			}
			this.socket.getOutputStream().write(requests.toString().getBytes(StandardCharsets.US_ASCII));
			int read = (this.random.nextInt(10) == 0) ? this.random.nextInt(size) : size;
			for (String id : ids.subList(0, read)) {
				this.tally.check(id, RawHttp.readMessage(this.in));
			}
			this.tally.left.addAndGet(size - read);
			if (last || read < size) {
				leave(read < size);
			}
		}

		private String request(String id, boolean last) {
			String route = ROUTES[this.random.nextInt(ROUTES.length)];
			String body = (this.random.nextInt(3) == 0) ? AnsweringServers.requestBody(id, this.random.nextInt(5000))
					: "";
			String deadline = (this.random.nextInt(8) == 0) ? "deadline: " + (100 + this.random.nextInt(400)) + "\r\n"
					: "";
			return (body.isEmpty() ? "GET " : "POST ") + route + id + " HTTP/1.1\r\nHost: h.example\r\nid: " + id
					+ "\r\nkey: k\r\n" + deadline + (last ? "connection: close\r\n" : "")
					+ (body.isEmpty() ? "" : "content-length: " + body.length() + "\r\n") + "\r\n" + body;
		}

		private void leave(boolean early) throws IOException {
			if (early) {
				ScriptedServer.pause(this.random.nextInt(20));
			}
			else if (this.in.read() >= 0) {
				this.tally.wrong.add(this.name + ": bytes after the last answer");
			}
			close();
		}

		private void close() throws IOException {
			if (this.socket != null) {
				this.socket.close();
				this.socket = null;
			}
		}

	}

	/**
	 * Input that is read in small parts with pauses.
	 */
	private static final class SlowInput extends FilterInputStream {

		private static final int PART = 8000;

		private SlowInput(InputStream in) {
			super(in);
		}

		@Override
		public int read(byte[] data, int from, int length) throws IOException {
			ScriptedServer.pause(1);
			return super.read(data, from, Math.min(length, PART));
		}

	}

}
