package io.sequoialink.router;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.sequoialink.model.AccountId;
import io.sequoialink.model.Brake;
import io.sequoialink.model.Effect;
import io.sequoialink.model.HostId;
import io.sequoialink.model.RefusalCode;
import io.sequoialink.model.VersionId;
import io.sequoialink.remote.BackendException;
import io.sequoialink.remote.BackendException.Kind;
import io.sequoialink.remote.EngineClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

class ChatRouterTests {

	private final RouterFixture fixture = new RouterFixture();

	private RefusedException refused(ChatRequest request) {
		return catchThrowableOfType(RefusedException.class, () -> this.fixture.chat.route(request, AnswerSink.NONE));
	}

	@Test
	void usesCheapestAllowedVersionAndBillsOnce() throws RefusedException {
		ChatAnswer answer = this.fixture.chat.route(this.fixture.request(), AnswerSink.NONE);
		assertThat(answer.text()).isEqualTo("fine");
		assertThat(this.fixture.dispatched).containsExactly("small@e1+0");
		assertThat(this.fixture.bills).singleElement().satisfies((bill) -> assertThat(bill.cost()).isEqualTo(1));
	}

	@Test
	void escalationBillsAllAnswersInOneBill() throws RefusedException {
		this.fixture.escalate = true;
		this.fixture.rating = 0.1;
		ChatAnswer answer = this.fixture.chat.route(this.fixture.request(), AnswerSink.NONE);
		assertThat(this.fixture.dispatched).containsExactly("small@e1+0", "large@e1+0");
		assertThat(this.fixture.bills).singleElement()
			.satisfies((bill) -> assertThat(bill.cost()).isEqualTo(answer.cost()).isEqualTo(13));
	}

	@ParameterizedTest
	@CsvSource({ "UNREACHABLE, NONE", "REJECTED, NONE", "FAILED, UNKNOWN", "CUT_OFF, UNKNOWN", "INVALID, UNKNOWN" })
	void retriesFailedAttemptOnAnotherServer(Kind kind, Effect effect) throws RefusedException {
		this.fixture.script.add(RouterFixture.failing(kind, effect));
		this.fixture.chat.route(this.fixture.request(), AnswerSink.NONE);
		assertThat(this.fixture.dispatched).containsExactly("small@e1+0", "small@e2+0");
		assertThat(this.fixture.bills).hasSize(1);
	}

	@ParameterizedTest
	@CsvSource({ "NONE, NONE, NONE", "NONE, UNKNOWN, UNKNOWN", "UNKNOWN, NONE, UNKNOWN" })
	void refusalReportsNoEffectOnlyIfNoAttemptMayHaveRun(Effect first, Effect second, Effect expected) {
		this.fixture.script.add(RouterFixture.failing(Kind.REJECTED, first));
		this.fixture.script.add(RouterFixture.failing(Kind.REJECTED, second));
		RefusedException ex = refused(this.fixture.request());
		assertThat(ex.refusal().effect()).isEqualTo(expected);
		assertThat(this.fixture.bills).isEmpty();
	}

	@Test
	void doesNotRetryOnVersionWithdrawnDuringRequest() {
		this.fixture.script.add((sink) -> {
			this.fixture.withdraw("small");
			throw new BackendException(Kind.CUT_OFF, Effect.UNKNOWN, "scripted");
		});
		RefusedException ex = refused(this.fixture.request());
		assertThat(this.fixture.dispatched).containsExactly("small@e1+0");
		assertThat(ex.refusal().effect()).isEqualTo(Effect.UNKNOWN);
	}

	@Test
	void refusesRequestsWhileConfigurationIsStale() {
		this.fixture.configurationAge = Duration.ofMillis(5001);
		RefusedException ex = refused(this.fixture.request());
		assertThat(ex.refusal().code()).isEqualTo(RefusalCode.CONFIGURATION_STALE);
		assertThat(this.fixture.dispatched).isEmpty();
	}

	@Test
	void doesNotDispatchToVersionWithStopOrder() throws RefusedException {
		this.fixture.brakes.add(new Brake(Brake.Scope.VERSION, "small", "worse", new HostId("h2"), 0, 0));
		this.fixture.chat.route(this.fixture.request(), AnswerSink.NONE);
		assertThat(this.fixture.dispatched).containsExactly("large@e1+0");
	}

	@Test
	void sessionStaysOnItsVersionUntilVersionIsWithdrawn() throws RefusedException {
		String token = this.fixture.sessions
			.sign(new SessionTokens.Session("s1", new AccountId("studio"), new VersionId("large")));
		this.fixture.chat.route(this.fixture.request(RouterFixture.KEY, Optional.of(token), false, false),
				AnswerSink.NONE);
		assertThat(this.fixture.dispatched).containsExactly("large@e1+0");
		this.fixture.withdraw("large");
		RefusedException ex = refused(this.fixture.request(RouterFixture.KEY, Optional.of(token), false, false));
		assertThat(ex.refusal().code()).isEqualTo(RefusalCode.SESSION_VERSION_WITHDRAWN);
		assertThat(ex.refusal().effect()).isEqualTo(Effect.NONE);
	}

	@Test
	void newSessionIsBoundToVersionThatAnswered() throws RefusedException {
		this.fixture.escalate = true;
		this.fixture.rating = 0.1;
		ChatAnswer answer = this.fixture.chat
			.route(this.fixture.request(RouterFixture.KEY, Optional.empty(), true, false), AnswerSink.NONE);
		Optional<SessionTokens.Session> session = answer.metadata().session().flatMap(this.fixture.sessions::verify);
		assertThat(session).map(SessionTokens.Session::version).contains(answer.metadata().version());
	}

	@Test
	void refusesSessionTokenOfAnotherAccount() {
		String token = this.fixture.sessions
			.sign(new SessionTokens.Session("s1", new AccountId("other"), new VersionId("large")));
		RefusedException ex = refused(this.fixture.request(RouterFixture.KEY, Optional.of(token), false, false));
		assertThat(ex.refusal().code()).isEqualTo(RefusalCode.SESSION_REFUSED);
		assertThat(this.fixture.dispatched).isEmpty();
	}

	@Test
	void resumesInterruptedStreamOnSameServerWithoutRepeatingTokens() throws RefusedException {
		this.fixture.script.add(RouterFixture.failing(Kind.CUT_OFF, Effect.UNKNOWN, "a", "b"));
		this.fixture.script.add((sink) -> {
			sink.token(2, "c");
			return new EngineClient.EngineResult(5, 0, 3, Optional.of("stop"));
		});
		List<String> tokens = new ArrayList<>();
		this.fixture.chat.route(this.fixture.request(RouterFixture.KEY, Optional.empty(), false, true),
				new AnswerSink() {

					@Override
					public void begin(AnswerMetadata metadata) {
					}

					@Override
					public void token(String text) {
						tokens.add(text);
					}

				});
		assertThat(tokens).containsExactly("a", "b", "c");
		assertThat(this.fixture.dispatched).containsExactly("small@e1+0", "small@e1+2");
	}

	@Test
	void explanationContainsAllAttemptsAndTheBill() throws RefusedException {
		this.fixture.script.add(RouterFixture.failing(Kind.REJECTED, Effect.NONE));
		ChatRequest request = this.fixture.request();
		this.fixture.chat.route(request, AnswerSink.NONE);
		Explanation.Snapshot explanation = this.fixture.explanations.find(request.caller().id()).orElseThrow();
		assertThat(explanation.allowed()).containsExactly("small", "large");
		assertThat(explanation.attempts()).extracting("effect").containsExactly(Effect.NONE, Effect.DONE);
		assertThat(explanation.attempts().get(1).rating()).hasValue(1);
		assertThat(explanation.bill()).isPresent();
	}

}
