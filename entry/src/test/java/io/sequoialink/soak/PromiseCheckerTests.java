package io.sequoialink.soak;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Every check reports the violation that it exists for, and no check reports permitted
 * behaviour or the consequences of an injected fault.
 */
class PromiseCheckerTests {

	private static final Operator.Change CHANGE = new Operator.Change(1, "/new/", "/old/", false);

	private long now = Bounds.millisToNanos(100_000);

	private final DisturbanceTracker disturbances = new DisturbanceTracker(() -> this.now);

	private final PromiseChecker checker = new PromiseChecker(this.disturbances, () -> this.now);

	private TrackedRequest sendRequest(TrackedRequest.Kind kind) {
		return this.checker.recordSent("q1", kind, "acme", "h1", "/x/1");
	}

	private void advanceClock(long millis) {
		this.now += Bounds.millisToNanos(millis);
	}

	// A run of the soak (seed 47) reported streams that their servers had broken off, at
	// a
	// host that found no permit for another server; the users' rule leaves them out.
	@Test
	void connectionBrokenAfterTheServerBrokeOffDoesNotCount() {
		TrackedRequest request = sendRequest(TrackedRequest.Kind.SAFE);
		this.checker.recordExecution("q1", "i-1", "app", requestHead());
		this.checker.recordBrokenOff("q1");
		for (int i = 0; i < 5; i++) {
			this.checker.recordBrokenConnection(request, false);
		}
		assertThat(this.checker.violations()).isEmpty();
	}

	private static HttpMessages.Head requestHead(String... more) {
		Map<String, String> headers = new HashMap<>(Map.of(HeaderNames.ACCOUNT, "acme"));
		for (int i = 0; i < more.length; i += 2) {
			headers.put(more[i], more[i + 1]);
		}
		return new HttpMessages.Head("POST /x/1 HTTP/1.1", headers);
	}

	// Guards against a host that hands on what its server's answer was not, with whatever
	// status.
	@ParameterizedTest
	@ValueSource(ints = { 0, 200, 502, 600 })
	void noAnswerOfARunThatWasAnsweredWithSomethingBrokenIsRight(int status) {
		TrackedRequest request = sendRequest(TrackedRequest.Kind.SAFE);
		String seal = this.checker.recordExecution("q1", "i-1", "app", requestHead());
		this.checker.recordBroken("q1", seal, "malformed answers");
		this.checker.checkResponseHead(request, status, Optional.of(seal), 0, true);
		assertThat(this.checker.violations()).singleElement()
			.satisfies((violation) -> assertThat(violation.toString()).contains("MIXED"));
	}

	static Stream<Arguments> violations() {
		return Stream.of(violation("TWICE", TrackedRequest.Kind.ONCE, (test) -> {
			test.recordExecution("i-1", "app", requestHead());
			test.recordExecution("i-2", "app", requestHead());
		}), violation("REFUSED", TrackedRequest.Kind.ONCE, (test) -> {
			test.recordExecution("i-1", "app", requestHead());
			test.recordResponse(503);
		}), violation("REFUSED", TrackedRequest.Kind.ONCE, (test) -> {
			test.recordResponse(429);
			test.recordExecution("i-1", "app", requestHead());
		}), violation("UNASKED", TrackedRequest.Kind.SAFE,
				(test) -> test.checker.recordExecution("q9", "i-1", "app", requestHead())),
				violation("UNASKED", TrackedRequest.Kind.SAFE,
						(test) -> test.recordExecution("i-1", "app", requestHead(HeaderNames.CREDENTIAL, "k"))),
				violation("UNASKED", TrackedRequest.Kind.SAFE,
						(test) -> test.recordExecution("i-1", "app", requestHead(HeaderNames.HOLD, "h"))),
				violation("UNASKED", TrackedRequest.Kind.SAFE,
						(test) -> test.recordExecution("i-1", "app", requestHead(HeaderNames.ACCOUNT, "bolt"))),
				violation("ROUTE", TrackedRequest.Kind.STREAM,
						(test) -> test.recordExecution("i-1", "app", requestHead())),
				violation("BUDGET", TrackedRequest.Kind.SAFE, (test) -> {
					for (int i = 0; i <= Bounds.MAX_ATTEMPTS; i++) {
						test.recordExecution("i-" + i, "app", requestHead());
					}
				}), violation("BUDGET", TrackedRequest.Kind.SAFE, (test) -> {
					test.crash(3);
					test.advanceClock(Bounds.STABILIZATION_MILLIS + 1);
					test.crash(4);
				}), violation("LOST", TrackedRequest.Kind.SAFE, (test) -> {
					test.recordExecution("i-1", "app", requestHead());
					test.checker.recordBrokenConnection(test.request(), true);
				}), violation("LOST", TrackedRequest.Kind.SAFE, (test) -> {
					test.advanceClock(300);
					test.checker.recordBrokenConnection(test.request(), true);
				}), violation("LOST", TrackedRequest.Kind.SAFE, (test) -> {
					test.recordExecution("i-1", "app", requestHead());
					test.repeat(4, () -> test.checker.recordBrokenConnection(test.request(), false));
				}), violation("GONE", TrackedRequest.Kind.SAFE, (test) -> {
					test.checker.recordDisconnect(test.request());
					test.advanceClock(Bounds.CANCEL_MILLIS + 1);
					test.repeat(9, () -> {
						test.request().executions = 0;
						test.recordExecution("i-1", "app", requestHead());
					});
				}), violation("GONE", TrackedRequest.Kind.STREAM, (test) -> test.repeat(9, () -> {
					test.checker.recordDisconnect(test.request());
					test.advanceClock(Bounds.CANCEL_MILLIS + 1);
					test.checker.recordWorking("q1", "i-1");
				})), violation("CONFIG", TrackedRequest.Kind.SAFE, (test) -> {
					test.advanceClock(Bounds.REQUEST_TIMEOUT_MILLIS + Bounds.RESPONSE_GRACE_MILLIS + 1);
					test.repeat(9, () -> test.recordResponse(504));
				}), violation("CONFIG", TrackedRequest.Kind.SAFE, (test) -> {
					test.advanceClock(Bounds.REQUEST_TIMEOUT_MILLIS + Bounds.RESPONSE_GRACE_MILLIS + 1);
					test.repeat(9, () -> test.checker.recordTimeout(test.request()));
				}), violation("DRAIN", TrackedRequest.Kind.SAFE, (test) -> {
					long drainAccepted = test.now;
					test.advanceClock(Bounds.DRAIN_MILLIS + 1);
					test.checker.checkArrival("q1", "i-1", drainAccepted);
				}), violation("EVAC", TrackedRequest.Kind.SAFE, (test) -> {
					test.checker.recordEvacuated("b");
					test.advanceClock(Bounds.EVACUATION_MILLIS + 1);
					test.checker.checkZoneArrival("q1", "i-1", "b");
				}),
				violation("MIXED", TrackedRequest.Kind.SAFE,
						(test) -> test.checkResponseHead(200, Optional.empty(), 0)),
				violation("INNOCENT", TrackedRequest.Kind.SAFE,
						(test) -> test.checkResponseHead(503, Optional.empty(), 60)),
				violation("CONFIG", TrackedRequest.Kind.SAFE,
						(test) -> test.checker.checkProbe("h1", CHANGE, new ProbeResult(404, 404, 401))),
				violation("RECOVER", TrackedRequest.Kind.SAFE, (test) -> test.checker.checkRecovery(33, 40)));
	}

	private static Arguments violation(String rule, TrackedRequest.Kind kind, Consumer<PromiseCheckerTests> work) {
		return Arguments.of(rule, kind, work);
	}

	private TrackedRequest request() {
		return this.checker.find("q1").orElseThrow();
	}

	private void recordExecution(String server, String service, HttpMessages.Head head) {
		this.checker.recordExecution("q1", server, service, head);
	}

	private void recordResponse(int status) {
		this.checker.recordResponse(request(), status);
	}

	private void checkResponseHead(int status, Optional<String> seal, double retryAfterSeconds) {
		this.checker.checkResponseHead(request(), status, seal, retryAfterSeconds, true);
	}

	private void crash(int times) {
		repeat(times, () -> this.checker.recordCrash("q1", "poison"));
	}

	private void repeat(int times, Runnable work) {
		for (int i = 0; i < times; i++) {
			work.run();
		}
	}

	@ParameterizedTest(name = "{0} {1} {index}")
	@MethodSource("violations")
	void reportsViolation(String rule, TrackedRequest.Kind kind, Consumer<PromiseCheckerTests> work) {
		sendRequest(kind);
		work.accept(this);
		assertThat(this.checker.violations()).extracting(Violation::rule).containsExactly(rule);
	}

	@Test
	void acceptsPermittedBehaviour() {
		TrackedRequest retryable = sendRequest(TrackedRequest.Kind.SAFE);
		run("q1", "i-1", 500);
		String seal = run("q1", "i-2", 200);
		checkResponseHead(200, Optional.of(seal), 0);
		this.checker.checkResponseBody(retryable, Optional.of(seal), "answer to q1");
		recordResponse(200);
		TrackedRequest nonRetryable = this.checker.recordSent("q2", TrackedRequest.Kind.ONCE, "acme", "h1", "/x/1");
		this.checker.checkResponseHead(nonRetryable, 503, Optional.empty(), 60, false);
		this.checker.recordResponse(nonRetryable, 503);
		this.checker.checkArrival("q1", "i-1", this.now);
		this.checker.checkProbe("h1", CHANGE, new ProbeResult(200, 404, 401));
		this.checker.checkProbe("h1", CHANGE, new ProbeResult(0, 0, 0));
		this.checker.checkRecovery(34, 40);
		crash(3);
		assertThat(this.checker.violations()).isEmpty();
	}

	private String run(String id, String server, int... statuses) {
		String seal = this.checker.recordExecution(id, server, "app", requestHead());
		for (int status : statuses) {
			this.checker.recordAnswer(seal, status, Optional.of("answer to " + id));
		}
		return seal;
	}

	// Guards against an answer whose status is not the one its run was answered with
	// first, above all a success where the server answered with a failure (issue 50).
	@ParameterizedTest
	@CsvSource({ "200, 200, 0, true", "500, 500, 0, true", "504, 504, 200, true", "500, 200, 0, false",
			"504, 200, 200, false", "200, 500, 500, false", "504, 500, 0, false", "200, 200, 500, true" })
	void answerMustHaveTheFirstStatusOfItsRun(int first, int received, int second, boolean right) {
		sendRequest(TrackedRequest.Kind.SAFE);
		String seal = (second == 0) ? run("q1", "i-1", first) : run("q1", "i-1", first, second);
		checkResponseHead(received, Optional.of(seal), 0);
		assertThat(this.checker.violations()).extracting(Violation::rule)
			.containsExactlyElementsOf(right ? List.of() : List.of("MIXED"));
	}

	// Guards against an answer that belongs to no run, to another request's, or to one
	// that its server has not answered.
	@ParameterizedTest
	@CsvSource({ "200, i-9.9", "500, i-9.9", "200, i-1.1", "500, i-1.1", "200, i-1.2", "504, i-1.2" })
	void answerMustBeThatOfARunOfItsRequest(int received, String seal) {
		sendRequest(TrackedRequest.Kind.SAFE);
		this.checker.recordSent("q2", TrackedRequest.Kind.SAFE, "acme", "h1", "/x/1");
		assertThat(run("q2", "i-1", received)).isEqualTo("i-1.1");
		assertThat(run("q1", "i-1")).isEqualTo("i-1.2");
		checkResponseHead(received, Optional.of(seal), 0);
		assertThat(this.checker.violations()).extracting(Violation::rule).containsExactly("MIXED");
	}

	// Guards against a late second answer to the first of two runs at one server that is
	// taken for that of the second: only the seal tells them apart.
	@ParameterizedTest
	@CsvSource({ "0, 500, true", "1, 200, true", "0, 200, false", "1, 500, false" })
	void twoRunsOfARequestAtOneServerAreToldApart(int run, int received, boolean right) {
		sendRequest(TrackedRequest.Kind.SAFE);
		List<String> seals = List.of(run("q1", "i-1", 500, 200), run("q1", "i-1", 200));
		checkResponseHead(received, Optional.of(seals.get(run)), 0);
		assertThat(this.checker.violations()).extracting(Violation::rule)
			.containsExactlyElementsOf(right ? List.of() : List.of("MIXED"));
		assertThat(this.checker.count("repeated at the same server")).isEqualTo(1);
		assertThat(this.checker.count("successes after a failed run at the same server")).isEqualTo(run);
	}

	// Guards against a body that is not the whole body of the run, in failures too.
	@ParameterizedTest
	@CsvSource({ "200, answer to q1, true", "500, answer to q1, true", "200, second answer to q1, false",
			"500, second answer to q1, false", "200, answer to q2, false", "500, answer to, false", "200, '', false" })
	void bodyMustBeThatOfTheRun(int status, String body, boolean right) {
		TrackedRequest request = sendRequest(TrackedRequest.Kind.SAFE);
		this.checker.checkResponseBody(request, Optional.of(run("q1", "i-1", status, 200)), body);
		assertThat(this.checker.violations()).extracting(Violation::rule)
			.containsExactlyElementsOf(right ? List.of() : List.of("MIXED"));
	}

	// Guards against a stream of events that reaches its client as another body.
	@Test
	void streamMustNotArriveAsAnotherBody() {
		TrackedRequest request = sendRequest(TrackedRequest.Kind.SAFE);
		String seal = run("q1", "i-1");
		this.checker.recordAnswer(seal, 200, Optional.empty());
		checkResponseHead(200, Optional.of(seal), 0);
		assertThat(this.checker.violations()).isEmpty();
		this.checker.checkResponseBody(request, Optional.of(seal), "answer to q1");
		assertThat(this.checker.violations()).extracting(Violation::rule).containsExactly("MIXED");
	}

	// Guards against calling a host's own failure wrong: it has no seal and any body.
	@Test
	void failureOfTheHostItselfNeedsNoRun() {
		TrackedRequest request = sendRequest(TrackedRequest.Kind.SAFE);
		run("q1", "i-1", 500);
		checkResponseHead(504, Optional.empty(), 0);
		this.checker.checkResponseBody(request, Optional.empty(), "no answer in time");
		assertThat(this.checker.violations()).isEmpty();
	}

	@ParameterizedTest
	@CsvSource({ "404,404,401", "200,200,401", "200,404,200" })
	void detectsEachResponseOfAnOlderConfiguration(int added, int removed, int key) {
		assertThat(new ProbeResult(added, removed, key).contradicts(CHANGE)).isTrue();
	}

	// Time limits apply only while host, store and server are undisturbed, and again from
	// the stabilization time after a disturbance.
	@ParameterizedTest
	@ValueSource(strings = { "h1", "store", "i-1" })
	void ignoresLateArrivalAfterDisturbance(String disturbed) {
		this.disturbances.begin(disturbed);
		this.disturbances.end(disturbed);
		advanceClock(Bounds.STABILIZATION_MILLIS - 10);
		sendRequest(TrackedRequest.Kind.SAFE);
		long drainAccepted = this.now;
		advanceClock(Bounds.DRAIN_MILLIS + 1);
		this.checker.checkArrival("q1", "i-1", drainAccepted);
		assertThat(this.checker.violations()).isEmpty();
	}

	// Guards against reports of servers in other zones, of requests within the time
	// limit, after the end of an evacuation, and from hosts that need not know of it.
	@ParameterizedTest
	@CsvSource({ "c, 1, false, none", "b, 0, false, none", "b, 1, true, none", "b, 1, false, h1", "b, 1, false, store",
			"b, 1, false, i-1" })
	void ignoresArrivalsThatAnEvacuationPermits(String zone, int late, boolean ended, String disturbed) {
		this.disturbances.begin(disturbed);
		this.disturbances.end(disturbed);
		sendRequest(TrackedRequest.Kind.SAFE);
		this.checker.recordEvacuated("b");
		advanceClock(Bounds.EVACUATION_MILLIS + late);
		if (ended) {
			this.checker.recordEvacuationEnded("b");
		}
		this.checker.checkZoneArrival("q1", "i-1", zone);
		assertThat(this.checker.violations()).isEmpty();
	}

	@Test
	void ignoresConnectionBrokenByDisturbedHost() {
		this.disturbances.begin("h1");
		sendRequest(TrackedRequest.Kind.SAFE);
		recordExecution("i-1", "app", requestHead());
		this.checker.recordBrokenConnection(request(), true);
		assertThat(this.checker.violations()).isEmpty();
	}

	@ParameterizedTest
	@CsvSource({ "20,true", "19,false", "21,false" })
	void acceptsOnlyStreamsWithAllEventsInOrder(int events, boolean complete) {
		EventStreamChecker check = new EventStreamChecker();
		for (int event = 1; event <= events; event++) {
			check.append("id: " + event + "\nda");
			check.append("ta: x\n\n");
		}
		assertThat(check.finish().isEmpty()).isEqualTo(complete);
	}

	@ParameterizedTest
	@ValueSource(ints = { 4, 6 })
	void detectsMissingAndRepeatedEvents(int fifthId) {
		EventStreamChecker check = new EventStreamChecker();
		for (int event = 1; event <= 20; event++) {
			check.append("id: " + ((event == 5) ? fifthId : event) + "\ndata: x\n\n");
		}
		assertThat(check.finish()).isPresent();
	}

	@ParameterizedTest
	@CsvSource({ "400, false", "501, true" })
	void requestAfterAnnouncedShutdownBreaksDrain(long millis, boolean broken) {
		sendRequest(TrackedRequest.Kind.SAFE);
		this.checker.recordShutdownNotice("q1", "i-1");
		advanceClock(millis);
		this.checker.checkArrival("q1", "i-1", 0);
		this.checker.checkArrival("q1", "i-2", 0);
		assertThat(this.checker.violations()).extracting(Violation::rule)
			.containsExactlyElementsOf(broken ? List.of("DRAIN") : List.of());
	}

	@ParameterizedTest
	@CsvSource({ "400, 9, false", "600, 2, false", "600, 3, true", "5001, 9, false" })
	void moreThanTwoRequestsDuringBackoffBreakBudget(long millis, int requests, boolean broken) {
		sendRequest(TrackedRequest.Kind.SAFE);
		this.checker.recordBackoffRequest("q1", "i-1", 5000);
		advanceClock(millis);
		repeat(requests, () -> this.checker.checkArrival("q1", "i-1", 0));
		assertThat(this.checker.violations().isEmpty()).isEqualTo(!broken);
	}

	// The limit of 1.1 a second allows 11 requests in 4 s from hosts that were told of
	// it.
	@ParameterizedTest
	@CsvSource({ "11, 3, false", "12, 3, true", "30, 0, false" })
	void moreRequestsThanAServersLimitBreakLimit(int requests, int toldHosts, boolean broken) {
		this.checker.recordLimit("i-1", 1.1);
		for (int host = 0; host < 3; host++) {
			this.checker.recordSent("h" + host, TrackedRequest.Kind.SAFE, "acme", "h" + host, "/x/1");
			if (host < toldHosts) {
				this.checker.recordLimitTold("h" + host, "i-1");
			}
		}
		advanceClock(Bounds.STABILIZATION_MILLIS - 100);
		for (int request = 0; request < requests; request++) {
			advanceClock(20);
			this.checker.checkArrival("h" + request % 3, "i-1", 0);
		}
		assertThat(this.checker.violations()).extracting(Violation::rule)
			.containsExactlyElementsOf(broken ? List.of("LIMIT") : List.of());
	}

	@ParameterizedTest
	@ValueSource(strings = { "limit ended", "host was disturbed", "spread over time" })
	void permittedRequestsKeepTheLimit(String why) {
		sendRequest(TrackedRequest.Kind.SAFE);
		this.checker.recordLimit("i-1", 1.1);
		this.checker.recordLimitTold("q1", "i-1");
		advanceClock(Bounds.STABILIZATION_MILLIS);
		if (why.startsWith("limit")) {
			this.checker.recordLimitEnded("i-1");
		}
		if (why.startsWith("host")) {
			this.disturbances.begin("h1");
			this.disturbances.end("h1");
		}
		repeat(40, () -> {
			advanceClock(why.startsWith("spread") ? 400 : 10);
			this.checker.checkArrival("q1", "i-1", 0);
		});
		assertThat(this.checker.violations()).isEmpty();
	}

	@Test
	void restartedHostMayHaveForgottenSignals() {
		sendRequest(TrackedRequest.Kind.SAFE);
		this.checker.recordShutdownNotice("q1", "i-1");
		this.disturbances.begin("h1");
		this.disturbances.end("h1");
		advanceClock(1000);
		this.checker.checkArrival("q1", "i-1", 0);
		assertThat(this.checker.violations()).isEmpty();
	}

}
