package io.sequoialink.gateway.http;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Orders of events in which a server answers one run twice, over loopback: the first
 * answer is the run's, the second is an extra one that bears the right id and the
 * opposite status. Whatever form the first answer has, the extra one must not reach the
 * client: it gets the first one or an answer of the host, whatever the server does when
 * the request comes back (MIXED).
 */
class AnswerAttributionTests {

	private static final String EXTRA = "extra";

	private static final String OWN = "own";

	private static final String CHUNKED = "transfer-encoding: chunked\r\n";

	private static final List<IdForm> FORMS = List.of(IdForm.RIGHT, IdForm.NAME_IN_OTHER_CASE, IdForm.RIGHT_TWICE,
			IdForm.RIGHT_THEN_OTHER, IdForm.NONE);

	private static String answer(int status, String headers, String body) {
		return "HTTP/1.1 " + status + " X\r\n" + headers + "content-length: " + body.length() + "\r\n\r\n" + body;
	}

	private static String own(int status, String idHeaders) {
		return answer(status, idHeaders + "seal: s\r\n", OWN);
	}

	private static String extra(ScriptedServer.Call call, int status) {
		return answer(status, "id: " + call.header("id") + "\r\nseal: s\r\n", EXTRA);
	}

	private static int opposite(int status) {
		return (status / 100 == 2) ? 500 : 200;
	}

	// Answers "first" soundly, so that the connection is kept, and all others by a
	// script.
	private static ScriptedServer.Script afterFirst(ScriptedServer.Script script) {
		return (call) -> {
			if (call.path().endsWith("first")) {
				call.respond(200, "seal: s\r\n", "first");
				return;
			}
			script.respond(call);
		};
	}

	private static GatewayFixture fixture(Way way, ScriptedServer.Script... scripts) throws Exception {
		List<ScriptedServer.Script> all = new ArrayList<>(List.of(scripts));
		if (way.helped && all.size() == 1) {
			all.add(scripts[0]);
		}
		GatewayFixture fixture = GatewayFixture
			.withServers(all.stream().map(AnswerAttributionTests::afterFirst).toArray(ScriptedServer.Script[]::new));
		if (way.helped) {
			fixture.startHelpingHost();
			fixture.setCutOff(true);
		}
		if (way.kept) {
			assertThat(RawHttp.body(fixture.exchange("/safe/first", ""))).isEqualTo("first");
		}
		return fixture;
	}

	private static String outcome(String response) {
		return RawHttp.status(response) + " " + RawHttp.body(response);
	}

	static Stream<Arguments> firstAnswers() {
		List<Arguments> all = new ArrayList<>();
		for (Way way : Way.values()) {
			for (int status : new int[] { 500, 200 }) {
				for (int pause : new int[] { 0, 30 }) {
					FORMS.forEach((form) -> all.add(Arguments.of(form, way, status, pause)));
				}
			}
		}
		return all.stream();
	}

	// Guards against dropping the run's answer for its id and taking the extra one.
	@ParameterizedTest(name = "{0}, {1}, status {2}, extra answer after {3} ms")
	@MethodSource("firstAnswers")
	@Timeout(20)
	void extraAnswerIsNotTakenWhateverTheIdOfTheFirst(IdForm form, Way way, int status, int pause) throws Exception {
		try (GatewayFixture fixture = fixture(way, (call) -> {
			call.write(own(status, form.headers(call.header("id"))));
			ScriptedServer.pause(pause);
			call.write(extra(call, opposite(status)));
		})) {
			assertThat(outcome(fixture.exchange("/safe/x", ""))).doesNotContain(EXTRA);
		}
	}

	// Guards against an extra answer without an id, as the users' servers write them,
	// that is taken for that of the repeat or of the next request.
	@ParameterizedTest(name = "{0}, {1}, {2} ms after the first answer")
	@CsvSource({ "NEW, 500, 0", "NEW, 500, 30", "KEPT, 500, 0", "KEPT, 500, 30", "KEPT, 200, 0", "KEPT, 200, 30",
			"NEW_HELPED, 500, 0", "KEPT_HELPED, 500, 30", "KEPT, 500, -1", "KEPT, 200, -1", "KEPT_HELPED, 500, -1" })
	@Timeout(20)
	void extraAnswerWithoutAnIdIsNotTaken(Way way, int status, int pause) throws Exception {
		try (GatewayFixture fixture = fixture(way, (call) -> {
			String late = answer(opposite(status), "seal: s\r\n", EXTRA);
			String own = own(status, "id: " + call.header("id") + "\r\n");
			if (pause < 0) {
				call.write((call.number() == 2) ? late + own : own);
				return;
			}
			call.write(own);
			ScriptedServer.pause(pause);
			call.write(late);
		})) {
			for (int i = 0; i < 5; i++) {
				assertThat(outcome(fixture.exchange("/safe/x", ""))).doesNotContain(EXTRA);
			}
		}
	}

	static Stream<Arguments> framings() {
		List<Arguments> all = new ArrayList<>();
		for (Way way : Way.values()) {
			for (Framing framing : Framing.values()) {
				all.add(Arguments.of(framing, way, 500));
				all.add(Arguments.of(framing, way, 503));
				all.add(Arguments.of(framing, way, 200));
			}
		}
		return all.stream();
	}

	// Guards against an end of the first answer that is seen too early or too late, so
	// that
	// the extra answer becomes the answer or a part of it.
	@ParameterizedTest(name = "{0}, {1}, status {2}")
	@MethodSource("framings")
	@Timeout(20)
	void extraAnswerIsNotTakenWhateverTheFramingOfTheFirst(Framing framing, Way way, int status) throws Exception {
		try (GatewayFixture fixture = fixture(way, (call) -> {
			call.write(
					framing.answer(call, status) + (framing.endsWithConnection() ? "" : extra(call, opposite(status))));
			if (framing.endsWithConnection()) {
				call.close();
			}
		})) {
			assertThat(outcome(fixture.exchange("/safe/x", ""))).isEqualTo(framing.outcome(status));
			assertThat(outcome(fixture.exchange("/safe/first", ""))).isEqualTo("200 first");
		}
	}

	// Guards against an answer without a body whose extra answer is read as that body or
	// as an answer of its own.
	@ParameterizedTest(name = "{0}, content-length {1}, {2}")
	@CsvSource({ "204, 0, NEW", "204, 0, KEPT", "304, 0, NEW", "304, 0, KEPT", "304, 90, NEW", "304, 90, KEPT" })
	@Timeout(20)
	void extraAnswerIsNotTakenAfterOneWithoutABody(int status, int length, Way way) throws Exception {
		try (GatewayFixture fixture = fixture(way,
				(call) -> call.write("HTTP/1.1 " + status + " X\r\nid: " + call.header("id")
						+ "\r\nseal: s\r\ncontent-length: " + length + "\r\n\r\n" + extra(call, 200)));
				GatewayFixture.Client client = fixture.connect()) {
			client.send("/safe/x", "connection: close\r\n");
			assertThat(client.readToEnd()).startsWith("HTTP/1.1 " + status).doesNotContain(EXTRA);
			assertThat(outcome(fixture.exchange("/safe/first", ""))).isEqualTo("200 first");
		}
	}

	static Stream<Arguments> interims() {
		return Stream.of("100", "102", "103", "101", "101 upgrade", "100 with a body", "100 100")
			.flatMap((kind) -> Stream.of(Way.NEW, Way.KEPT, Way.NEW_HELPED)
				.flatMap((way) -> Stream.of("before", "after").map((place) -> Arguments.of(kind, place, way))));
	}

	private static String interim(String kind, String id) {
		String named = "id: " + id + "\r\nseal: s\r\n";
		return switch (kind) {
			case "101 upgrade" -> "HTTP/1.1 101 X\r\n" + named + "connection: upgrade\r\nupgrade: other\r\n\r\n";
			case "100 with a body" -> answer(100, named, "hello");
			case "100 100" -> interim("100", id) + interim("100", id);
			default -> "HTTP/1.1 " + kind + " X\r\n" + named + "\r\n";
		};
	}

	// Guards against interim answers that hide the run's answer, or what follows it.
	@ParameterizedTest(name = "{0} {1} the first answer, {2}")
	@MethodSource("interims")
	@Timeout(20)
	void extraAnswerIsNotTakenWithInterimAnswers(String kind, String place, Way way) throws Exception {
		try (GatewayFixture fixture = fixture(way, (call) -> {
			String named = "id: " + call.header("id") + "\r\n";
			String interim = interim(kind, call.header("id"));
			call.write(place.equals("before") ? interim + own(500, named) : own(500, named) + interim);
			ScriptedServer.pause(30);
			call.write(extra(call, 200));
		})) {
			assertThat(outcome(fixture.exchange("/safe/x", ""))).doesNotContain(EXTRA);
			assertThat(outcome(fixture.exchange("/safe/first", ""))).isEqualTo("200 first");
		}
	}

	// Guards against an extra answer that is taken when it is read together with the
	// first
	// one, cut at any byte.
	@ParameterizedTest(name = "{0}, {1}")
	@CsvSource({ "RIGHT, NEW", "RIGHT, KEPT", "RIGHT, NEW_HELPED", "NONE, NEW", "NONE, KEPT" })
	@Timeout(60)
	void extraAnswerIsNotTakenWhereverBothAreCut(IdForm form, Way way) throws Exception {
		List<String> wrong = new ArrayList<>();
		try (GatewayFixture fixture = fixture(way, (call) -> {
			String both = own(500, form.headers(call.header("id"))) + extra(call, 200);
			int cut = Math.min(both.length(), Integer.parseInt(call.path().substring("/safe/".length())));
			call.write(both.substring(0, cut));
			ScriptedServer.pause(2);
			call.write(both.substring(cut));
		})) {
			for (int cut = 0; cut < 140; cut++) {
				if (way.kept) {
					fixture.exchange("/safe/first", "");
				}
				String outcome = outcome(fixture.exchange("/safe/" + cut, ""));
				if (outcome.contains(EXTRA)) {
					wrong.add(cut + ": " + outcome);
				}
			}
		}
		assertThat(wrong).isEmpty();
	}

	// Guards against a success for a request that its server has refused, and that no
	// repeat brought to a good end.
	@ParameterizedTest(name = "{0}, {1} after {2} ms, {3}")
	@CsvSource({ "/safe/x, 421, 0, NEW", "/safe/x, 421, 30, KEPT", "/safe/x, 503, 0, NEW", "/safe/x, 503, 30, KEPT",
			"/once/x, 421, 0, NEW", "/once/x, 503, 30, NEW", "/once/x, 503, 0, NEW_HELPED",
			"/safe/x, 421, 0, KEPT_HELPED" })
	@Timeout(20)
	void extraAnswerIsNotTakenAfterARefusal(String path, int status, int pause, Way way) throws Exception {
		try (GatewayFixture fixture = fixture(way, (call) -> {
			call.respond(status, "not-run: 1\r\n", "");
			ScriptedServer.pause(pause);
			call.write(extra(call, 200));
		})) {
			assertThat(RawHttp.status(fixture.exchange(path, ""))).isEqualTo(503);
		}
	}

	// Guards against an answer to HEAD whose extra answer is taken for that of the next.
	@ParameterizedTest(name = "{0}, {1}")
	@CsvSource({ "RIGHT, 500", "NONE, 500", "RIGHT, 200" })
	@Timeout(20)
	void extraAnswerToHeadIsNotTaken(IdForm form, int status) throws Exception {
		try (GatewayFixture fixture = fixture(Way.KEPT, (call) -> {
			String named = form.headers(call.header("id"));
			call.write("HTTP/1.1 " + status + " X\r\n" + named + "seal: s\r\ncontent-length: 90\r\n\r\n" + "HTTP/1.1 "
					+ opposite(status) + " X\r\n" + named + "seal: s\r\ncontent-length: 90\r\n\r\n");
		}); GatewayFixture.Client client = fixture.connect()) {
			client.raw("HEAD /safe/x HTTP/1.1\r\nHost: h.example\r\nid: h1\r\nkey: k\r\nconnection: close\r\n\r\n");
			assertThat(client.readToEnd()).startsWith("HTTP/1.1 " + status);
			assertThat(outcome(fixture.exchange("/safe/first", ""))).isEqualTo("200 first");
		}
	}

	// Guards against an answer of an attempt that was given up for its silence: it is on
	// the connection when the request has gone to another server, or is written later.
	@ParameterizedTest(name = "{0}, {1}, silent for {2} ms")
	@CsvSource({ "/safe/x, NEW, 300", "/safe/x, NEW, 400", "/safe/x, NEW, 450", "/safe/x, KEPT, 450",
			"/safe/x, KEPT, 600", "/safe/x, NEW_HELPED, 450", "/brief/x, NEW, 125", "/brief/x, NEW, 290" })
	@Timeout(20)
	void extraAnswerOfASilentServerIsNotTaken(String path, Way way, int silentMillis) throws Exception {
		ScriptedServer.Script script = (call) -> {
			ScriptedServer.pause(silentMillis);
			call.write(own(504, "id: " + call.header("id") + "\r\n") + extra(call, 200));
		};
		try (GatewayFixture fixture = fixture(way, script, script)) {
			assertThat(RawHttp.status(fixture.exchange(path, ""))).isEqualTo(504);
			assertThat(outcome(fixture.exchange("/safe/first", ""))).isEqualTo("200 first");
		}
	}

	// Guards against the same with one server left, to which the request comes back after
	// its own 504.
	@ParameterizedTest(name = "{0}, silent for {1} ms")
	@CsvSource({ "/safe/x, 100", "/safe/x, 600", "/brief/x, 125", "/brief/x, 290", "/brief/x, 298" })
	@Timeout(20)
	void extraAnswerOfTheOnlyServerIsNotTakenAfterSilence(String path, int silentMillis) throws Exception {
		try (GatewayFixture fixture = fixture(Way.KEPT, (call) -> {
			ScriptedServer.pause(silentMillis);
			call.write(own(504, "id: " + call.header("id") + "\r\n") + extra(call, 200));
		})) {
			assertThat(RawHttp.status(fixture.exchange(path, ""))).isEqualTo(504);
			assertThat(outcome(fixture.exchange("/safe/first", ""))).isEqualTo("200 first");
		}
	}

	// Guards against a stream that goes on elsewhere with an extra answer.
	@ParameterizedTest
	@ValueSource(strings = { "RIGHT", "NONE" })
	@Timeout(20)
	void aStreamDoesNotGoOnWithAnExtraAnswer(IdForm form) throws Exception {
		ScriptedServer.Script script = (call) -> {
			if (call.header("last-event-id") == null) {
				call.streamHead("");
				call.chunk("id: 1\ndata: own\n\n");
				call.reset();
				return;
			}
			call.write(own(500, form.headers(call.header("id"))));
			call.streamHead("");
			call.chunk("id: 2\ndata: extra\n\n");
			call.endChunks();
		};
		try (GatewayFixture fixture = fixture(Way.NEW, script, script);
				GatewayFixture.Client client = fixture.connect()) {
			client.send("/stream/x", "");
			assertThat(client.readToEnd()).contains("data: own").doesNotContain(EXTRA).endsWith("<cut>");
		}
	}

	/** How the attempt reaches the server. */
	enum Way {

		NEW(false, false), KEPT(true, false), NEW_HELPED(false, true), KEPT_HELPED(true, true);

		private final boolean kept;

		private final boolean helped;

		Way(boolean kept, boolean helped) {
			this.kept = kept;
			this.helped = helped;
		}

	}

	/** The ids of an answer to the request whose id is given. */
	enum IdForm {

		RIGHT, NAME_IN_OTHER_CASE, RIGHT_TWICE, RIGHT_THEN_OTHER, NONE;

		private String headers(String id) {
			return switch (this) {
				case RIGHT -> "id: " + id + "\r\n";
				case NAME_IN_OTHER_CASE -> "ID: " + id + "\r\n";
				case RIGHT_TWICE -> "id: " + id + "\r\nid: " + id + "\r\n";
				case RIGHT_THEN_OTHER -> "id: " + id + "\r\nid: other\r\n";
				case NONE -> "";
			};
		}

	}

	/** How the first answer ends. */
	enum Framing {

		LENGTH, CLOSE, CHUNKED_WITH_TRAILERS, TRAILERS_WITH_OTHER_ID, HTTP_1_0, UNTIL_CLOSE, HTTP_1_0_UNTIL_CLOSE;

		private boolean endsWithConnection() {
			return this == UNTIL_CLOSE || this == HTTP_1_0_UNTIL_CLOSE;
		}

		private String outcome(int status) {
			return status + " " + OWN;
		}

		private String answer(ScriptedServer.Call call, int status) {
			String named = "id: " + call.header("id") + "\r\nseal: s\r\n";
			String line = " " + status + " X\r\n" + named;
			return switch (this) {
				case LENGTH -> own(status, "id: " + call.header("id") + "\r\n");
				case CLOSE -> AnswerAttributionTests.answer(status, named + "connection: close\r\n", OWN);
				case CHUNKED_WITH_TRAILERS ->
					"HTTP/1.1" + line + CHUNKED + "\r\n3;note=\"x\"\r\nown\r\n0;last\r\nsum: 1\r\n\r\n";
				case TRAILERS_WITH_OTHER_ID ->
					"HTTP/1.1" + line + CHUNKED + "\r\n3\r\nown\r\n0\r\nid: other\r\nseal: t\r\n\r\n";
				case HTTP_1_0 -> "HTTP/1.0" + line + "content-length: 3\r\n\r\nown";
				case UNTIL_CLOSE -> "HTTP/1.1" + line + "\r\nown";
				case HTTP_1_0_UNTIL_CLOSE -> "HTTP/1.0" + line + "\r\nown";
			};
		}

	}

}
