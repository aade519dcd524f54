package io.sequoialink.router;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import io.sequoialink.ledger.ClaimDecision;
import io.sequoialink.ledger.RecordedOutcome;
import io.sequoialink.model.Effect;
import io.sequoialink.model.RefusalCode;
import io.sequoialink.model.RequestId;
import io.sequoialink.remote.BackendException.Kind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

class ServiceRouterTests {

	private final RouterFixture fixture = new RouterFixture();

	private RefusedException refused(Optional<String> key) {
		return catchThrowableOfType(RefusedException.class,
				() -> this.fixture.services.call(this.fixture.depositCall(key)));
	}

	@Test
	void claimsCallBeforeDispatchAndRecordsOutcome() throws RefusedException {
		assertThat(this.fixture.services.call(this.fixture.depositCall(Optional.of("d1"))).status()).isEqualTo(201);
		assertThat(this.fixture.claimCalls).containsExactly("claim", "outcome");
		assertThat(this.fixture.dispatched).containsExactly("/deposits");
	}

	@Test
	void refusesNonIdempotentCallWithoutIdempotencyKey() {
		assertThat(refused(Optional.empty()).refusal().code()).isEqualTo(RefusalCode.BAD_REQUEST);
		assertThat(this.fixture.dispatched).isEmpty();
	}

	@Test
	void doesNotDispatchWithExpiredClaim() {
		this.fixture.claimValid = false;
		assertThat(refused(Optional.of("d1")).refusal().effect()).isEqualTo(Effect.NONE);
		assertThat(this.fixture.dispatched).isEmpty();
		assertThat(this.fixture.claimCalls).containsExactly("claim", "not_dispatched");
	}

	@ParameterizedTest
	@CsvSource({ "UNREACHABLE, NONE, not_dispatched", "CUT_OFF, UNKNOWN, ", "TIMEOUT, UNKNOWN, " })
	void doesNotRetryFailedExecution(Kind kind, Effect effect, String recordedCall) {
		this.fixture.script.add(RouterFixture.failing(kind, effect));
		assertThat(refused(Optional.of("d1")).refusal().effect()).isEqualTo(effect);
		assertThat(this.fixture.dispatched).hasSize(1);
		assertThat(this.fixture.claimCalls)
			.isEqualTo((recordedCall != null) ? List.of("claim", recordedCall) : List.of("claim"));
	}

	static Stream<Arguments> deniedClaims() {
		return Stream.of(Arguments.of(new ClaimDecision.InProgress(3), Effect.UNKNOWN),
				Arguments.of(new ClaimDecision.OutcomeUnknown(3), Effect.UNKNOWN),
				Arguments.of(new ClaimDecision.KeyReused(3), Effect.NONE));
	}

	@ParameterizedTest
	@MethodSource("deniedClaims")
	void doesNotDispatchIfClaimIsNotGranted(ClaimDecision decision, Effect expected) {
		this.fixture.claimDecision = decision;
		assertThat(refused(Optional.of("d1")).refusal().effect()).isEqualTo(expected);
		assertThat(this.fixture.dispatched).isEmpty();
	}

	@Test
	void repeatedCallReturnsRecordedOutcomeAndBillsFirstRequest() throws RefusedException {
		this.fixture.claimDecision = new ClaimDecision.Replay(
				new RecordedOutcome(new RequestId("first"), 201, "text/plain", new byte[] { 9 }));
		assertThat(this.fixture.services.call(this.fixture.depositCall(Optional.of("d1"))).body()).containsExactly(9);
		assertThat(this.fixture.dispatched).isEmpty();
		assertThat(this.fixture.bills).extracting((bill) -> bill.request().value()).containsExactly("first");
	}

}
