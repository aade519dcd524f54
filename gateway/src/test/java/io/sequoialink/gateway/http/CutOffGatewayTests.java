package io.sequoialink.gateway.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The data path of a host whose own connections to all servers are refused, over
 * loopback, with another host that reaches them, or with one that is scripted byte by
 * byte.
 */
class CutOffGatewayTests {

	private static final String HELLO = "hello\n\n";

	private static final ScriptedServer.Script GOOD = (call) -> call.respond(200, "seal: s\r\nx-own: 1\r\n", HELLO);

	private static GatewayFixture cutOff(ScriptedServer.Script... scripts) throws Exception {
		GatewayFixture fixture = GatewayFixture.withServers(scripts);
		fixture.startHelpingHost();
		fixture.setCutOff(true);
		return fixture;
	}

	@ParameterizedTest
	@ValueSource(strings = { "/safe/x?q=1", "/once/x?q=1", "/firm/x?q=1" })
	void aRequestIsForwardedUnchangedThroughAnotherHost(String path) throws Exception {
		ScriptedServer.Script script = path.startsWith("/firm") ? CutOffGatewayTests::stream : GOOD;
		try (GatewayFixture fixture = cutOff(script, script)) {
			String response = fixture.exchange(path, "");
			assertThat(RawHttp.status(response)).isEqualTo(200);
			assertThat(RawHttp.header(response, "seal")).isEqualTo("s");
			assertThat(fixture.attemptCount()).isEqualTo(1);
			String request = fixture.server(fixture.server(1).requests().isEmpty() ? 2 : 1).requests().get(0);
			assertThat(request).startsWith("GET " + path + " HTTP/1.1\r\n");
			assertThat(RawHttp.header(request, "account")).isEqualTo("acme");
			assertThat(RawHttp.header(request, "key")).isNull();
		}
	}

	private static void stream(ScriptedServer.Call call) throws IOException {
		call.streamHead("");
		call.chunk("id: 1\ndata: d1\n\n");
		call.endChunks();
	}

	@Test
	void aResponseThatEndsWithTheServersConnectionIsComplete() throws Exception {
		ScriptedServer.Script untilClose = (call) -> {
			call.write("HTTP/1.1 200 OK\r\nid: " + call.header("id") + "\r\nseal: s\r\n\r\nwhole");
			call.close();
		};
		try (GatewayFixture fixture = cutOff(untilClose, untilClose)) {
			String response = fixture.exchange("/once/x", "");
			assertThat(RawHttp.status(response)).isEqualTo(200);
			assertThat(RawHttp.body(response)).isEqualTo("whole");
		}
	}

	// Guards against responses that another host passes on as complete although their
	// server broke off.
	@ParameterizedTest(name = "{0}")
	@MethodSource("io.sequoialink.gateway.http.GatewayTests#invalidResponses")
	void aResponseThatBreaksOffBehindAnotherHostIsNotForwarded(String name, ScriptedServer.Script invalid)
			throws Exception {
		try (GatewayFixture fixture = cutOff(invalid, invalid)) {
			String response = fixture.exchange("/once/x", "");
			assertThat(RawHttp.status(response)).isEqualTo(502);
			assertThat(RawHttp.header(response, "seal")).isNull();
			assertThat(fixture.attemptCount()).isEqualTo(1);
		}
	}

	// Guards against a response without a length that looks complete because the process
	// of the helping host ended: the system then ends its connections regularly.
	@ParameterizedTest(name = "ended by {0}, complete: {1}")
	@CsvSource({ "host, false", "server, true" })
	void onlyTheServerEndsAResponseWithItsConnection(String endedBy, boolean complete) throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(GOOD, GOOD);
				ScriptedHost host = new ScriptedHost((request, out) -> {
					ScriptedHost.frame(out, ScriptedHost.DATA,
							"HTTP/1.1 200 OK\r\nid: " + RawHttp.header(request, "id") + "\r\nseal: s\r\n\r\nwhole");
					if (endedBy.equals("server")) {
						ScriptedHost.frame(out, ScriptedHost.END, "");
					}
				})) {
			fixture.addHost("scripted", host.address());
			fixture.setCutOff(true);
			String response = fixture.exchange("/once/x", "");
			assertThat(RawHttp.status(response)).isEqualTo(complete ? 200 : 502);
			assertThat(host.requests()).hasSize(1);
		}
	}

	// The helping host tells the end of the server's output with the number of bytes that
	// the server has got, -1 for all of the request.
	@ParameterizedTest(name = "{0} then {1}, complete: {2}")
	@CsvSource({ "-1, end, true", "0, -1, true", "0, reset, false", "0, end, false" })
	void theEndOfTheServersOutputCountsOnceTheServerHasTheRequest(int first, String then, boolean complete)
			throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(GOOD, GOOD);
				ScriptedHost host = new ScriptedHost((request, out) -> {
					ScriptedHost.frame(out, ScriptedHost.DATA,
							"HTTP/1.1 200 OK\r\nid: " + RawHttp.header(request, "id") + "\r\nseal: s\r\n\r\nwhole");
					ScriptedHost.end(out, (first < 0) ? request.length() : first);
					if (then.equals("reset")) {
						ScriptedHost.frame(out, ScriptedHost.RESET, "");
					}
					else if (!then.equals("end")) {
						ScriptedHost.end(out, request.length());
					}
				})) {
			fixture.addHost("scripted", host.address());
			fixture.setCutOff(true);
			assertThat(RawHttp.status(fixture.exchange("/once/x", ""))).isEqualTo(complete ? 200 : 502);
			assertThat(host.requests()).hasSize(1);
		}
	}

	@Test
	void aRequestThatMayBeRepeatedIsSentAgainWhenTheHelpingHostIsLost() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(GOOD, GOOD);
				ScriptedHost host = new ScriptedHost((request, out) -> {
				})) {
			fixture.addHost("scripted", host.address());
			fixture.setCutOff(true);
			fixture.startHelpingHost();
			for (int i = 0; i < 6; i++) {
				assertThat(RawHttp.status(fixture.exchange("/safe/x", ""))).isEqualTo(200);
			}
			assertThat(host.requests()).hasSizeLessThanOrEqualTo(1);
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 65_535, 65_536, 65_537, 200_000 })
	void longResponsesPassThroughAnotherHostWhole(int length) throws Exception {
		String body = "x".repeat(length);
		ScriptedServer.Script script = (call) -> call.respond(200, "seal: s\r\n", body);
		try (GatewayFixture fixture = cutOff(script, script)) {
			assertThat(RawHttp.body(fixture.exchange("/safe/x", ""))).isEqualTo(body);
		}
	}

	// A connection that brings anything but frames is closed, and takes no memory.
	@ParameterizedTest
	@ValueSource(strings = { "GET / HTTP/1.1\r\n\r\n", "\u0002\u0000\u0000\u0000\u0001x",
			"\u0000\u007f\u007f\u007f\u007f", "\u0000\u0000\u0000\u0000\u0001x", "\u0009\u0000\u0000\u0000\u0000" })
	void bytesThatAreNoFrameEndTheConnection(String bytes) throws Exception {
		try (GatewayFixture fixture = cutOff(GOOD, GOOD);
				Socket socket = new Socket(InetAddress.getLoopbackAddress(), fixture.helpingAddress().getPort())) {
			socket.setSoTimeout(5000);
			socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
			assertThat(readEnd(socket)).isNotPositive();
			long until = System.nanoTime() + 2_000_000_000L;
			while (connections(fixture) > 0) {
				assertThat(System.nanoTime()).isLessThan(until);
			}
		}
	}

	private static int connections(GatewayFixture fixture) throws Exception {
		AtomicInteger open = new AtomicInteger();
		fixture.onLoop(() -> open.set(fixture.helping().connections()));
		return open.get();
	}

	private static int readEnd(Socket socket) throws IOException {
		try {
			return socket.getInputStream().read();
		}
		catch (SocketException ex) {
			return 0;
		}
	}

	@Test
	void withoutAnotherHostARequestIsRejectedAsNotRun() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(GOOD, GOOD)) {
			fixture.setCutOff(true);
			String response = fixture.exchange("/once/x", "");
			assertThat(RawHttp.status(response)).isEqualTo(503);
			assertThat(fixture.attemptCount()).isZero();
		}
	}

	// Guards against 504, "outcome unknown", for requests that never left the host:
	// clients
	// may not repeat those that run at most once after that.
	@ParameterizedTest
	@ValueSource(strings = { "/brief/x", "/brief-once/x" })
	void aRequestOfWhichNothingWasSentIsRejectedAsNotRunAtItsDeadline(String path) throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(GOOD, GOOD);
				SilentAddress silent = new SilentAddress()) {
			fixture.setCutOff(silent.address());
			String response = fixture.exchange(path, "");
			assertThat(RawHttp.status(response)).isEqualTo(503);
			assertThat(Double.parseDouble(RawHttp.header(response, "retry-after"))).isPositive();
			fixture.setCutOff(false);
			Thread.sleep(700);
			assertThat(fixture.attemptCount()).isZero();
		}
	}

	@Test
	void aSilentPathCostsOneConnectTimeout() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(GOOD, GOOD);
				SilentAddress silent = new SilentAddress()) {
			fixture.startHelpingHost();
			fixture.setCutOff(silent.address());
			assertThat(millisOf(fixture)).isLessThan(900);
			assertThat(millisOf(fixture)).isLessThan(300);
		}
	}

	// Guards against a host that never finds out that it is cut off, because all of its
	// requests give up their connects before the connect timeout.
	@Test
	void requestsWithLittleTimeFindOutThatThePathIsSilent() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(GOOD, GOOD);
				SilentAddress silent = new SilentAddress()) {
			fixture.startHelpingHost();
			fixture.setCutOff(silent.address());
			fixture.exchange("/brief-once/x", "");
			assertThat(RawHttp.status(fixture.exchange("/brief-once/x", ""))).isEqualTo(200);
		}
	}

	private static long millisOf(GatewayFixture fixture) throws IOException {
		long began = System.nanoTime();
		assertThat(RawHttp.status(fixture.exchange("/once/x", ""))).isEqualTo(200);
		return (System.nanoTime() - began) / 1_000_000;
	}

	@Test
	void aHostThatIsNotKnownIsNotHelped() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(GOOD, GOOD)) {
			fixture.startHelpingHost("helper", (address) -> false);
			fixture.setCutOff(true);
			assertThat(RawHttp.status(fixture.exchange("/safe/x", ""))).isEqualTo(503);
			assertThat(fixture.attemptCount()).isZero();
		}
	}

	@Test
	void aHostThatDrainsOpensNoFurtherConnections() throws Exception {
		try (GatewayFixture fixture = cutOff(GOOD, GOOD)) {
			fixture.onLoop(() -> fixture.helping().drain());
			assertThat(RawHttp.status(fixture.exchange("/safe/x", ""))).isEqualTo(503);
			assertThat(fixture.attemptCount()).isZero();
		}
	}

	@Test
	void connectionsAreDirectAgainOnceThePathIsWhole() throws Exception {
		try (GatewayFixture fixture = cutOff(GOOD, GOOD)) {
			fixture.exchange("/safe/x", "");
			assertThat(fixture.paths().suspected("svc")).isTrue();
			fixture.setCutOff(false);
			long until = System.nanoTime() + 3_000_000_000L;
			while (fixture.paths().suspected("svc")) {
				assertThat(System.nanoTime()).isLessThan(until);
				assertThat(RawHttp.status(fixture.exchange("/once/x", ""))).isEqualTo(200);
				Thread.sleep(50);
			}
			fixture.exchange("/safe/x", "");
			fixture.exchange("/safe/x", "");
			assertThat(fixture.helping().connections()).as("connections through the other host").isLessThanOrEqualTo(1);
		}
	}

	// Guards against a host that never tries its own path again, because it goes on
	// asking
	// hosts that do not answer: with a request now and then, one can always be asked.
	@Test
	void aPathThatIsWholeAgainIsFoundAlthoughNoOtherHostAnswers() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(GOOD, GOOD);
				SilentAddress silent = new SilentAddress()) {
			fixture.addHost("gone", GatewayFixture.freeAddress());
			fixture.setCutOff(silent.address());
			for (int i = 0; i < 3; i++) {
				fixture.exchange("/brief-once/x", "");
			}
			fixture.setCutOff(false);
			long until = System.nanoTime() + 3_000_000_000L;
			while (RawHttp.status(fixture.exchange("/once/x", "")) != 200) {
				assertThat(System.nanoTime()).as("served again in time").isLessThan(until);
				Thread.sleep(120);
			}
		}
	}

	// Guards against a host that blames requests for crashes when its own path to the
	// servers breaks: their connections are reset and new ones refused, as after a crash.
	// A
	// host that is cut off in the same moment is no witness.
	@ParameterizedTest(name = "other host cut off too: {0}")
	@ValueSource(booleans = { false, true })
	void aBrokenPathIsNotTakenForACrash(boolean otherHostToo) throws Exception {
		GatewayFixture[] cut = new GatewayFixture[1];
		ScriptedServer.Script resetsBehindTheCut = (call) -> {
			cut[0].setCutOff(true);
			cut[0].setHelpingHostCutOff(otherHostToo);
			call.reset();
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(resetsBehindTheCut, resetsBehindTheCut,
				resetsBehindTheCut)) {
			cut[0] = fixture;
			fixture.startHelpingHost();
			for (int i = 0; i < 5; i++) {
				fixture.setCutOff(false);
				fixture.setHelpingHostCutOff(false);
				assertThat(RawHttp.status(fixture.exchange("/once/bad", ""))).isEqualTo(502);
				Thread.sleep(100);
			}
			fixture.onLoop(() -> assertThat(fixture.crashCoordinator().anySuspects()).as("blames a request").isFalse());
			assertThat(fixture.published()).isEmpty();
		}
	}

	// Guards against hosts that reject what a server could run, because several others
	// have
	// ended and the hosts take that for a broken path and ask each other.
	@Test
	void aServerThatIsUpIsFoundWhileMostHaveEndedAndNoHostHelps() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(GOOD, GOOD, GOOD, GOOD, GOOD)) {
			fixture.addHost("gone", GatewayFixture.freeAddress());
			for (int number = 1; number <= 4; number++) {
				fixture.server(number).refuseConnections();
			}
			for (int i = 0; i < 10; i++) {
				assertThat(RawHttp.status(fixture.exchange("/once/x", ""))).isEqualTo(200);
			}
		}
	}

	@Test
	void aCrashIsFoundOutThroughAnotherHost() throws Exception {
		ScriptedServer.Script crashes = ScriptedServer.Call::crash;
		try (GatewayFixture fixture = cutOff(crashes, crashes, crashes, crashes)) {
			long until = System.nanoTime() + 5_000_000_000L;
			while (fixture.firstPublishedCrashCount() < 2) {
				assertThat(System.nanoTime()).isLessThan(until);
				fixture.exchange("/once/bad", "");
				Thread.sleep(100);
			}
		}
	}

}
