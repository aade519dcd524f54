package io.sequoialink.gateway.http;

import java.util.concurrent.locks.LockSupport;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What clients send in unusual ways is answered completely and in order.
 */
class ClientInputTests {

	private static final String HEAD = " HTTP/1.1\r\nHost: h.example\r\nid: r\r\nkey: k\r\n";

	// Guards against requests that stay undecoded when the ones before them are answered.
	@Test
	void hundredsOfRequestsBehindASlowOneAreAllAnswered() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers((call) -> {
			LockSupport.parkNanos(200_000_000L);
			call.respond(200, "seal: s\r\n", "slow");
		}); GatewayFixture.Client client = fixture.connect()) {
			client.raw("GET /safe/x" + HEAD + "\r\n" + ("GET /none/x" + HEAD + "\r\n").repeat(300));
			assertThat(RawHttp.status(client.read())).isEqualTo(200);
			for (int i = 0; i < 300; i++) {
				assertThat(RawHttp.status(client.read())).isEqualTo(404);
			}
		}
	}

	// Guards against a body that the client reads as the beginning of the next response.
	@Test
	void aHostsOwnResponseToHeadHasNoBody() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withoutConfiguration();
				GatewayFixture.Client client = fixture.connect()) {
			client.raw("HEAD /none/x" + HEAD + "connection: close\r\n\r\n");
			StringBuilder response = new StringBuilder();
			for (int next = client.readByte(); next >= 0; next = client.readByte()) {
				response.append((char) next);
			}
			assertThat(response.toString()).startsWith("HTTP/1.1 ").endsWith("\r\n\r\n");
		}
	}

	// Guards against keeping bodies that no server will get.
	@Test
	void aBodyWithoutARouteIsNotAwaited() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers(); GatewayFixture.Client client = fixture.connect()) {
			client.raw("POST /none/x" + HEAD + "transfer-encoding: chunked\r\n\r\n");
			assertThat(RawHttp.status(client.read())).isEqualTo(404);
		}
	}

	// Guards against a discarded body that is read as the next request.
	@Test
	void aSmallBodyWithoutARouteIsDiscardedAndTheConnectionStays() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers((call) -> call.respond(200, "seal: s\r\n", "served"));
				GatewayFixture.Client client = fixture.connect()) {
			client.raw("POST /none/x" + HEAD + "content-length: 5\r\n\r\nGET /");
			assertThat(RawHttp.status(client.read())).isEqualTo(404);
			client.send("/safe/x", "");
			assertThat(RawHttp.status(client.read())).isEqualTo(200);
		}
	}

	// Guards against a client that waits for 100 Continue before it sends its body.
	@Test
	void aBodyIsAskedForIfItIsAwaited() throws Exception {
		try (GatewayFixture fixture = GatewayFixture.withServers((call) -> call.respond(200, "seal: s\r\n", "served"));
				GatewayFixture.Client client = fixture.connect()) {
			client.raw("POST /safe/x" + HEAD + "expect: 100-continue\r\ncontent-length: 5\r\n\r\n");
			assertThat(RawHttp.status(client.read())).isEqualTo(100);
			client.raw("abcde");
			assertThat(RawHttp.status(client.read())).isEqualTo(200);
		}
	}

}
