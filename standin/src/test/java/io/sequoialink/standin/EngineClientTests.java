package io.sequoialink.standin;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.sequoialink.model.AccountId;
import io.sequoialink.model.BackendServer;
import io.sequoialink.model.ClassId;
import io.sequoialink.model.Effect;
import io.sequoialink.model.RequestId;
import io.sequoialink.model.VersionId;
import io.sequoialink.remote.BackendException;
import io.sequoialink.remote.BackendException.Kind;
import io.sequoialink.remote.CallerGoneException;
import io.sequoialink.remote.EngineClient.EngineRequest;
import io.sequoialink.remote.EngineClient.EngineResult;
import io.sequoialink.remote.EngineClient.Message;
import io.sequoialink.remote.HttpClientPool;
import io.sequoialink.remote.HttpEngineClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/**
 * Tests how {@link HttpEngineClient} handles the faults that {@link StandinEngine}
 * injects.
 */
class EngineClientTests {

	private static final String VERSION = "caption-small-3";

	private static final int SEED = 7;

	private final ExecutionRecorder executionRecorder = new ExecutionRecorder();

	private final HttpClientPool pool = new HttpClientPool(2, Duration.ofMillis(500));

	private final HttpEngineClient client = new HttpEngineClient(this.pool, Duration.ofSeconds(1));

	private final List<String> tokens = new ArrayList<>();

	private StandinEngine engine;

	@BeforeEach
	void startEngine() throws IOException {
		this.engine = engine(new EngineSettings("e1", "a", Set.of(VERSION), 1, 2, 2, 0.01, 0, true, 1, 200));
	}

	@AfterEach
	void stopEngine() {
		this.engine.close();
		this.pool.close();
	}

	@Test
	void completeAnswerArrivesInOrderAndIsRecorded() throws BackendException {
		EngineResult result = generate(request("r1", 0));
		assertThat(this.tokens).hasSize(result.answerTokens());
		assertThat(this.tokens.get(1)).isEqualTo(" w1");
		assertThat(this.executionRecorder.runs()).singleElement().satisfies((run) -> {
			assertThat(run.completed()).isTrue();
			assertThat(run.account()).isEqualTo("studio");
			assertThat(run.sentTokens()).isEqualTo(result.answerTokens());
		});
	}

	@ParameterizedTest
	@EnumSource(names = { "FOREIGN", "LATE", "DUPLICATE", "REORDER", "SLOW" })
	void irregularTokenStreamIsCorrected(EngineFault fault) throws BackendException {
		EngineResult undisturbed = generate(request("r1", 1));
		List<String> expected = List.copyOf(this.tokens);
		this.engine.setFaultShare(fault, 1);
		assertThat(generate(request("r1", 1)).answerTokens()).isEqualTo(undisturbed.answerTokens());
		assertThat(this.tokens).isEqualTo(expected);
		HttpEngineClient.Irregularities irregularities = this.client.irregularities();
		boolean foreign = fault == EngineFault.FOREIGN || fault == EngineFault.LATE;
		assertThat(irregularities.foreign() > 0).isEqualTo(foreign);
		assertThat(irregularities.duplicates() > 0).isEqualTo(fault == EngineFault.DUPLICATE);
		assertThat(irregularities.reordered() > 0).isEqualTo(fault == EngineFault.REORDER);
	}

	@ParameterizedTest
	@CsvSource({ "CUT, CUT_OFF, UNKNOWN", "TRUNCATE, CUT_OFF, UNKNOWN", "FAIL, FAILED, UNKNOWN" })
	void brokenAnswerIsNeverReportedAsComplete(EngineFault fault, Kind kind, Effect effect) {
		this.engine.setFaultShare(fault, 1);
		assertFailure(request("r1", 0), kind, effect);
		assertThat(this.executionRecorder.runs()).hasSize(1);
	}

	@Test
	void cutAnswerIsResumedAtAnotherEngine() throws IOException, BackendException {
		this.engine.setFaultShare(EngineFault.CUT, 1);
		assertFailure(request("r1", 0), Kind.CUT_OFF, Effect.UNKNOWN);
		try (StandinEngine other = engine(EngineSettings.of("e2", "b", Set.of(VERSION), 0.01))) {
			EngineRequest remainder = request("r1", 1, this.tokens.size());
			EngineResult result = this.client.generate(other.directoryEntry(), remainder,
					(number, text) -> this.tokens.add(text));
			assertThat(this.tokens).hasSize(result.answerTokens()).doesNotHaveDuplicates();
		}
	}

	@Test
	void stoppedEngineIsReportedAsNotExecuted() throws Exception {
		BackendServer server = this.engine.directoryEntry();
		generate(request("r1", 0));
		this.engine.stop();
		TimeUnit.MILLISECONDS.sleep(100);
		for (int call = 0; call < 8; call++) {
			assertFailure(server, request("r2", call), Kind.UNREACHABLE, Effect.NONE);
		}
		this.engine.start();
		generate(request("r2", 9));
		assertThat(this.executionRecorder.runs()).hasSize(2);
	}

	@Test
	void unknownVersionIsRejectedAsNotExecuted() {
		EngineRequest wanted = request("r1", 0);
		EngineRequest other = new EngineRequest(wanted.request(), 0, new VersionId("absent"), wanted.messages(), 10, 0,
				wanted.timeout(), 0, wanted.requestClass(), wanted.account());
		assertFailure(other, Kind.REJECTED, Effect.NONE);
		assertThat(this.executionRecorder.runs()).isEmpty();
	}

	@Test
	void timeoutLeavesTheEffectUnknown() throws IOException {
		try (StandinEngine slow = engine(EngineSettings.of("e2", "b", Set.of(VERSION), 50))) {
			EngineRequest shortTimeout = request("r1", 0, 0, Duration.ofMillis(100));
			assertFailure(slow.directoryEntry(), shortTimeout, Kind.TIMEOUT, Effect.UNKNOWN);
		}
	}

	@Test
	void crashingRequestStopsTheEngineUntilItRestarts() throws Exception {
		EngineRequest crashing = new EngineRequest(new RequestId("p1"), 0, new VersionId(VERSION),
				List.of(new Message("user", "x " + EngineSettings.CRASH_TRIGGER)), 10, 0, Duration.ofSeconds(5), 0,
				new ClassId("tagline"), new AccountId("studio"));
		assertFailure(crashing, Kind.CUT_OFF, Effect.UNKNOWN);
		assertThat(this.executionRecorder.crashCount()).isEqualTo(1);
		assertFailure(request("r1", 0), Kind.UNREACHABLE, Effect.NONE);
		TimeUnit.MILLISECONDS.sleep(500);
		generate(request("r1", 1));
	}

	@Test
	void disconnectedCallerCancelsTheRun() throws Exception {
		restartWithSlowAnswers();
		BackendException failure = catchThrowableOfType(BackendException.class,
				() -> this.client.generate(this.engine.directoryEntry(), request("r1", 0), (number, text) -> {
					throw new CallerGoneException("gone");
				}));
		assertThat(failure.kind()).isEqualTo(Kind.CANCELLED);
		TimeUnit.MILLISECONDS.sleep(400);
		assertThat(this.executionRecorder.runs()).singleElement()
			.satisfies((run) -> assertThat(run.completed()).isFalse());
	}

	@Test
	void fullQueueRejectsAndLowerPriorityWaits() throws Exception {
		restartWithSlowAnswers();
		ExecutorService callers = Executors.newCachedThreadPool();
		CountDownLatch first = new CountDownLatch(1);
		Future<?> running = callers.submit(() -> this.client.generate(this.engine.directoryEntry(), request("r1", 0),
				(number, text) -> first.countDown()));
		first.await();
		List<Future<?>> queued = new ArrayList<>();
		for (int priority : new int[] { 5, 0 }) {
			queued.add(callers.submit(() -> this.client.generate(this.engine.directoryEntry(),
					request("q" + priority, 0, 0, Duration.ofSeconds(5), priority), (number, text) -> {
					})));
			awaitQueued(queued.size());
		}
		assertFailure(request("r4", 0), Kind.REJECTED, Effect.NONE);
		running.get();
		for (Future<?> future : queued) {
			future.get();
		}
		assertThat(this.executionRecorder.runs()).extracting(EngineRun::request).containsExactly("r1", "q0", "q5");
		callers.shutdown();
	}

	// How long a call takes to reach the engine depends on the machine.
	private void awaitQueued(int expected) throws Exception {
		long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
		while (queuedRequests() < expected && System.nanoTime() - until < 0) {
			TimeUnit.MILLISECONDS.sleep(5);
		}
		assertThat(queuedRequests()).isEqualTo(expected);
	}

	private int queuedRequests() throws Exception {
		return this.client.load(this.engine.directoryEntry()).queued();
	}

	@Test
	void secondTurnOfASessionUsesTheCachedPrefix() throws BackendException {
		List<Message> turns = List.of(new Message("system", "s".repeat(400)), new Message("user", "u".repeat(40)));
		assertThat(generate(request("r1", 0, turns)).cachedTokens()).isZero();
		assertThat(generate(request("r2", 0, turns)).cachedTokens()).isEqualTo(112);
		generate(request("r3", 0, List.of(new Message("user", "a"), new Message("user", "b"))));
		assertThat(generate(request("r4", 0, turns)).cachedTokens()).isZero();
	}

	private EngineResult generate(EngineRequest request) throws BackendException {
		this.tokens.clear();
		return this.client.generate(this.engine.directoryEntry(), request, (number, text) -> {
			assertThat(number).isEqualTo(this.tokens.size());
			this.tokens.add(text);
		});
	}

	private void assertFailure(EngineRequest request, Kind kind, Effect effect) {
		assertFailure(this.engine.directoryEntry(), request, kind, effect);
	}

	private void assertFailure(BackendServer server, EngineRequest request, Kind kind, Effect effect) {
		BackendException failure = catchThrowableOfType(BackendException.class,
				() -> this.client.generate(server, request, (number, text) -> this.tokens.add(text)));
		assertThat(failure.kind()).as(failure.getMessage()).isEqualTo(kind);
		assertThat(failure.effect()).isEqualTo(effect);
	}

	private void restartWithSlowAnswers() throws IOException {
		this.engine.close();
		this.engine = engine(new EngineSettings("e1", "a", Set.of(VERSION), 1, 2, 2, 0.2, 0, true, 1, 200));
		this.engine.setFaultShare(EngineFault.SLOW, 1);
	}

	private StandinEngine engine(EngineSettings settings) throws IOException {
		SimulatedOutcomes outcomes = new SimulatedOutcomes(OutcomeTable.bundled("magnolia"), SEED);
		StandinEngine started = new StandinEngine(settings, outcomes, this.executionRecorder, SEED,
				System::currentTimeMillis);
		started.start();
		return started;
	}

	private static EngineRequest request(String id, int attempt) {
		return request(id, attempt, 0);
	}

	private static EngineRequest request(String id, int attempt, int resumeAt) {
		return request(id, attempt, resumeAt, Duration.ofSeconds(5));
	}

	private static EngineRequest request(String id, int attempt, int resumeAt, Duration timeout) {
		return request(id, attempt, resumeAt, timeout, 0);
	}

	private static EngineRequest request(String id, int attempt, int resumeAt, Duration timeout, int priority) {
		return new EngineRequest(new RequestId(id), attempt, new VersionId(VERSION),
				List.of(new Message("user", "Write a tagline")), 100, priority, timeout, resumeAt,
				new ClassId("tagline"), new AccountId("studio"));
	}

	private static EngineRequest request(String id, int attempt, List<Message> messages) {
		return new EngineRequest(new RequestId(id), attempt, new VersionId(VERSION), messages, 1, 0,
				Duration.ofSeconds(5), 0, new ClassId("tagline"), new AccountId("studio"));
	}

}
