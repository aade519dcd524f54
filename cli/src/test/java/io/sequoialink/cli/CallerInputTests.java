package io.sequoialink.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.stream.Stream;

import io.sequoialink.bench.live.Caller;
import io.sequoialink.bench.live.DeploymentObjects;
import io.sequoialink.bench.live.LiveFleet;
import io.sequoialink.daemon.host.HostPolicies;
import io.sequoialink.standin.Standins;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks that invalid HTTP input is rejected with a clear error, that nothing runs for
 * it, and that the host goes on serving other requests.
 */
class CallerInputTests {

	private static final int READ_TIMEOUT_MILLIS = 15_000;

	private static final String BODY = "{\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";

	private static LiveFleet fleet;

	private static int port;

	@BeforeAll
	static void start() throws Exception {
		fleet = LiveFleet.start("magnolia", Standins.of("magnolia").timeScale(0.02).start(), 1, HostPolicies.DEFAULT,
				3);
		port = fleet.hosts().get(0).httpPort();
	}

	@AfterAll
	static void stop() {
		fleet.close();
	}

	static Stream<Arguments> badRequests() {
		String keyHeader = "authorization: Bearer " + DeploymentObjects.key("account-0");
		String jsonHeader = "content-type: application/json";
		String classHeader = "x-sequoialink-class: tagline";
		return Stream.of(Arguments.of("no key", post(BODY, jsonHeader, classHeader), 401, "unauthenticated"),
				Arguments.of("unknown key", post(BODY, jsonHeader, classHeader, "authorization: Bearer x"), 401,
						"unauthenticated"),
				Arguments.of("no class", post(BODY, jsonHeader, keyHeader), 400, "bad_request"),
				Arguments.of("unknown class", post(BODY, jsonHeader, keyHeader, "x-sequoialink-class: nothing"), 404,
						"not_found"),
				Arguments.of("bad class", post(BODY, jsonHeader, keyHeader, "x-sequoialink-class: a b"), 400,
						"bad_request"),
				Arguments.of("wrong content type", post(BODY, "content-type: text/plain", keyHeader, classHeader), 415,
						"unsupported_media_type"),
				Arguments.of("no JSON", post("{\"messages\":", jsonHeader, keyHeader, classHeader), 400, "bad_request"),
				Arguments.of("no object", post("[]", jsonHeader, keyHeader, classHeader), 400, "bad_request"),
				Arguments.of("no messages", post("{\"messages\":[]}", jsonHeader, keyHeader, classHeader), 400,
						"bad_request"),
				Arguments.of("bad role",
						post("{\"messages\":[{\"role\":\"root\",\"content\":\"x\"}]}", jsonHeader, keyHeader,
								classHeader),
						400, "bad_request"),
				Arguments.of("too many tokens",
						post("{\"max_tokens\":99999999," + BODY.substring(1), jsonHeader, keyHeader, classHeader), 400,
						"bad_request"),
				Arguments.of("bad stream flag",
						post("{\"stream\":\"yes\"," + BODY.substring(1), jsonHeader, keyHeader, classHeader), 400,
						"bad_request"),
				Arguments.of("deadline in the past",
						post(BODY, jsonHeader, keyHeader, classHeader, "x-sequoialink-deadline: -5s"), 422,
						"deadline_impossible"),
				Arguments.of("bad deadline",
						post(BODY, jsonHeader, keyHeader, classHeader, "x-sequoialink-deadline: soon"), 400,
						"bad_request"),
				Arguments.of("bad quality", post(BODY, jsonHeader, keyHeader, classHeader, "x-sequoialink-quality: 2"),
						400, "bad_request"),
				Arguments.of("forged session",
						post(BODY, jsonHeader, keyHeader, classHeader, "x-sequoialink-session: s1~s1~a~b~c~d"), 403,
						"session_refused"),
				Arguments.of("unknown version",
						post("{\"model\":\"gpt\"," + BODY.substring(1), jsonHeader, keyHeader, classHeader), 403,
						"forbidden"),
				Arguments.of("body too large", post("x".repeat((1 << 20) + 1), jsonHeader, keyHeader, classHeader), 413,
						"too_large"),
				Arguments.of("unknown path", "GET /nowhere HTTP/1.1\r\nhost: x\r\n\r\n", 404, "not_found"),
				Arguments.of("wrong method", "GET /v1/chat/completions HTTP/1.1\r\nhost: x\r\n\r\n", 400,
						"bad_request"),
				Arguments.of("charge without a key",
						"POST /services/orders/charges HTTP/1.1\r\nhost: x\r\n" + keyHeader
								+ "\r\ncontent-length: 2\r\n\r\n{}",
						400, "bad_request"),
				Arguments.of("unknown service",
						"POST /services/none/x HTTP/1.1\r\nhost: x\r\n" + keyHeader + "\r\ncontent-length: 0\r\n\r\n",
						404, "not_found"));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("badRequests")
	void rejectsWithClearErrorAndRunsNothing(String name, String request, int status, String code) throws Exception {
		int runs = fleet.standins().executionRecorder().runs().size();
		int executions = fleet.standins().executionRecorder().executions().size();
		String reply = exchange(request, true);
		assertThat(reply).startsWith("HTTP/1.1 " + status);
		assertThat(reply).contains("\"code\":\"" + code + "\"").contains("\"executed\":\"none\"");
		assertThat(fleet.standins().executionRecorder().runs()).hasSize(runs);
		assertThat(fleet.standins().executionRecorder().executions()).hasSize(executions);
	}

	@Test
	void truncatedBodyRunsNothing() throws Exception {
		int runs = fleet.standins().executionRecorder().runs().size();
		String completeRequest = post(BODY, "content-type: application/json", "x-sequoialink-class: tagline",
				"authorization: Bearer " + DeploymentObjects.key("account-0"));
		exchange(completeRequest.substring(0, completeRequest.length() - 5), false);
		assertThat(fleet.standins().executionRecorder().runs()).hasSize(runs);
		assertThat(hostStillAnswers()).isTrue();
	}

	@Test
	void oversizedHeadersAreNeverAnsweredWithSuccess() throws Exception {
		int runs = fleet.standins().executionRecorder().runs().size();
		String reply = exchange(post(BODY, "x-padding: " + "y".repeat(200_000)), true);
		assertThat(reply).doesNotStartWith("HTTP/1.1 200");
		assertThat(fleet.standins().executionRecorder().runs()).hasSize(runs);
		assertThat(hostStillAnswers()).isTrue();
	}

	@Test
	void arbitraryBytesNeverRunAnythingNorStopTheHost() throws Exception {
		int runs = fleet.standins().executionRecorder().runs().size();
		Random random = new Random(8);
		for (int i = 0; i < 150; i++) {
			exchange(mutatedRequest(random), false);
		}
		assertThat(fleet.standins().executionRecorder().runs()).hasSize(runs);
		assertThat(hostStillAnswers()).isTrue();
	}

	/**
	 * Randomly alters a request. It carries no API key, so that no altered form of it is
	 * permitted to run.
	 */
	private static String mutatedRequest(Random random) {
		StringBuilder text = new StringBuilder(
				post(BODY, "content-type: application/json", "x-sequoialink-class: tagline"));
		for (int i = 0; i < 1 + random.nextInt(6); i++) {
			int at = random.nextInt(text.length());
			if (random.nextBoolean()) {
				text.setCharAt(at, (char) random.nextInt(256));
			}
			else {
				text.delete(at, Math.min(text.length(), at + random.nextInt(20)));
			}
		}
		return text.toString();
	}

	private static boolean hostStillAnswers() throws Exception {
		try (Caller caller = new Caller(port)) {
			return caller.chat(DeploymentObjects.key("account-0"), "tagline", "still there?", 4, false, Map.of())
				.answered();
		}
	}

	private static String post(String body, String... headers) {
		return "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: " + body.length() + "\r\n"
				+ String.join("\r\n", headers) + "\r\n\r\n" + body;
	}

	private static String exchange(String request, boolean wait) throws IOException {
		try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
			socket.setSoTimeout(READ_TIMEOUT_MILLIS);
			try {
				OutputStream out = socket.getOutputStream();
				out.write(request.getBytes(StandardCharsets.ISO_8859_1));
				out.flush();
				return wait ? readUntilError(socket.getInputStream()) : "";
			}
			catch (IOException ex) {
				return "";
			}
		}
	}

	private static String readUntilError(InputStream in) throws IOException {
		StringBuilder text = new StringBuilder();
		byte[] buffer = new byte[8192];
		while (text.indexOf("}}") < 0) {
			int read = in.read(buffer);
			if (read < 0) {
				break;
			}
			text.append(new String(buffer, 0, read, StandardCharsets.UTF_8));
		}
		return text.toString();
	}

}
