package io.sequoialink.gateway.http;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Servers that answer a request twice, the second time late and with success where the
 * first answer was a failure. Guards against giving the client the late answer for that
 * of a repeat, which failed (MIXED, report from processes on the users' own machines).
 */
class LateSecondAnswerTests {

	private static final String EVENT = "id: 1\ndata: late\n\n";

	private static void fail(ScriptedServer.Call call) throws IOException {
		call.respond(500, "seal: s\r\n", "failed");
	}

	private static String lateSuccess(String id, String body) {
		return "HTTP/1.1 200 OK\r\nid: " + id + "\r\nseal: s\r\ncontent-length: " + body.length() + "\r\n\r\n" + body;
	}

	// The only server gets the repeat of the same request at once.
	@ParameterizedTest
	@ValueSource(ints = { 0, 30, 120 })
	@Timeout(10)
	void lateAnswerIsNotThatOfARepeatAtTheSameServer(int pauseMillis) throws Exception {
		ScriptedServer.Script script = (call) -> {
			fail(call);
			ScriptedServer.pause(pauseMillis);
			call.write(lateSuccess(call.header("id"), "late"));
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script)) {
			for (int i = 0; i < 5; i++) {
				assertThat(RawHttp.status(fixture.exchange("/safe/x", ""))).isEqualTo(500);
			}
		}
	}

	// Another request is answered on the same connection before the repeat comes back to
	// the first server, because the second one has failed.
	@Test
	@Timeout(20)
	void lateAnswerIsNotThatOfARepeatAfterAnotherRequest() throws Exception {
		Stuttering servers = new Stuttering();
		try (GatewayFixture fixture = GatewayFixture.withServers((call) -> servers.respond(1, call),
				(call) -> servers.respond(2, call)); GatewayFixture.Client client = fixture.connect()) {
			client.send("/stream/x", "");
			awaitAttempts(fixture, 2);
			while (!servers.othersAnswered.contains(servers.first.get())) {
				assertThat(RawHttp.status(fixture.exchange("/safe/other", ""))).isEqualTo(200);
			}
			servers.otherAnswered.complete(null);
			String response = client.readHead();
			assertThat(response).doesNotContain("late");
			assertThat(RawHttp.status(response)).isEqualTo(500);
		}
	}

	// The second answer to a HEAD names a length, but has no body: the next answer on the
	// connection was read as that body, and its request went without one.
	@Test
	@Timeout(10)
	void lateAnswerToHeadTakesNothingOfTheNextAnswer() throws Exception {
		String headAnswer = "HTTP/1.1 200 OK\r\nid: ID\r\nseal: s\r\ncontent-length: 5000\r\n\r\n";
		ScriptedServer.Script script = (call) -> {
			if (call.path().endsWith("head")) {
				call.write(headAnswer.replace("ID", call.header("id")));
				ScriptedServer.pause(100);
				call.write(headAnswer.replace("ID", call.header("id")));
				return;
			}
			call.respond(200, "seal: s\r\n", "next");
		};
		try (GatewayFixture fixture = GatewayFixture.withServers(script);
				GatewayFixture.Client client = fixture.connect()) {
			client.raw("HEAD /safe/head HTTP/1.1\r\nHost: h.example\r\nid: h1\r\nkey: k\r\nconnection: close\r\n\r\n");
			assertThat(client.readToEnd()).startsWith("HTTP/1.1 200");
			long began = System.nanoTime();
			assertThat(RawHttp.body(fixture.exchange("/safe/x", ""))).isEqualTo("next");
			assertThat((System.nanoTime() - began) / 1_000_000).isLessThan(300);
		}
	}

	private static void awaitAttempts(GatewayFixture fixture, int count) throws InterruptedException {
		while (fixture.attemptCount() < count) {
			Thread.sleep(5);
		}
	}

	/**
	 * Two servers: the first to be asked fails, and writes its second answer after
	 * another request on the same connection; the other one crashes.
	 */
	private static final class Stuttering {

		private final CompletableFuture<Void> otherAnswered = new CompletableFuture<>();

		private final AtomicInteger first = new AtomicInteger();

		private final AtomicReference<String> repeated = new AtomicReference<>("");

		private final Set<Integer> othersAnswered = ConcurrentHashMap.newKeySet();

		private void respond(int server, ScriptedServer.Call call) throws IOException {
			if (call.path().endsWith("other")) {
				call.respond(200, "seal: s\r\n", "other");
				this.othersAnswered.add(server);
				this.otherAnswered.join();
				ScriptedServer.pause(100);
				call.write(lateSuccess(this.repeated.get(), EVENT));
				return;
			}
			if (this.first.compareAndSet(0, server)) {
				this.repeated.set(call.header("id"));
			}
			if (this.first.get() == server) {
				fail(call);
				return;
			}
			this.otherAnswered.join();
			call.crash();
		}

	}

}
