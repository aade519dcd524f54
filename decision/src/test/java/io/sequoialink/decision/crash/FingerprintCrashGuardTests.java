package io.sequoialink.decision.crash;

import java.util.Optional;
import java.util.OptionalDouble;

import io.sequoialink.decision.Attempt;
import io.sequoialink.decision.RequestFacts;
import io.sequoialink.model.AccountId;
import io.sequoialink.model.Brake;
import io.sequoialink.model.ClassId;
import io.sequoialink.model.Effect;
import io.sequoialink.model.HostId;
import io.sequoialink.model.RefusalCode;
import io.sequoialink.model.RequestId;
import io.sequoialink.model.ServerId;
import io.sequoialink.model.VersionId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class FingerprintCrashGuardTests {

	private final FingerprintCrashGuard owner = guard("h1", true);

	private final FingerprintCrashGuard other = guard("h2", false);

	@Test
	void theSecondCrashBlocksTheFingerprintOnAllHostsAndNoOther() {
		assertThat(crash(this.other, "bad", "q1")).isEmpty();
		assertThat(this.other.beforeDispatch(request("bad", "q2"), 1))
			.hasValueSatisfying((refusal) -> assertThat(refusal.code()).isEqualTo(RefusalCode.OVERLOADED));
		this.owner.addPeerSuspicion(new HostId("h2"), "bad", 1);
		Optional<Brake> stopOrder = crash(this.owner, "bad", "q3");
		assertThat(stopOrder).isPresent();
		this.other.accept(stopOrder.orElseThrow());
		assertThat(this.other.beforeDispatch(request("bad", "q4"), 2))
			.hasValueSatisfying((refusal) -> assertThat(refusal.code()).isEqualTo(RefusalCode.REQUEST_BRAKED));
		assertThat(this.other.beforeDispatch(request("good", "q5"), 2)).isEmpty();
	}

	@Test
	void anInnocentSuspectIsClearedByItsFirstCompleteResponse() {
		RequestFacts first = request("innocent", "q1");
		RequestFacts second = request("bad", "q2");
		this.owner.beforeDispatch(first, 0);
		this.owner.beforeDispatch(second, 0);
		this.owner.afterAttempt(first, attempt("cut_off"), true, 1);
		this.owner.afterAttempt(second, attempt("cut_off"), true, 1);
		assertThat(this.owner.beforeDispatch(first, 2)).isEmpty();
		assertThat(this.owner.beforeDispatch(second, 2)).isPresent();
		this.owner.afterAttempt(first, attempt("whole"), false, 3);
		assertThat(this.owner.requiresExclusiveServer(first, 4)).isFalse();
		assertThat(crash(this.owner, "innocent", "q3")).isEmpty();
	}

	@Test
	void oneCrashDuringTwoRequestsWithTheSameFingerprintCountsOnce() {
		RequestFacts first = request("twin", "q1");
		RequestFacts second = request("twin", "q2");
		this.owner.beforeDispatch(first, 0);
		this.owner.beforeDispatch(second, 0);
		assertThat(this.owner.afterAttempt(first, attempt("cut_off"), true, 1)).isEmpty();
		assertThat(this.owner.afterAttempt(second, attempt("cut_off"), true, 1)).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(strings = { "rejected", "cancelled" })
	void anAttemptThatWasNotExecutedClearsNothing(String outcome) {
		crash(this.owner, "bad", "q1");
		RequestFacts again = request("bad", "q2");
		this.owner.beforeDispatch(again, 1);
		this.owner.afterAttempt(again, attempt(outcome), false, 2);
		assertThat(this.owner.requiresExclusiveServer(again, 3)).isTrue();
	}

	@Test
	void suspicionsAndUnfinishedTrialsExpire() {
		crash(this.owner, "a", "q1");
		crash(this.owner, "b", "q2");
		assertThat(this.owner.beforeDispatch(request("a", "q3"), 1)).isEmpty();
		assertThat(this.owner.beforeDispatch(request("b", "q4"), 2)).isPresent();
		long later = 2 + CrashSettings.defaults().trialMillis();
		assertThat(this.owner.beforeDispatch(request("b", "q4"), later)).isEmpty();
		assertThat(
				this.owner.requiresExclusiveServer(request("a", "q5"), CrashSettings.defaults().suspicionMillis() + 1))
			.isFalse();
	}

	@Test
	void onlyALaterConfigurationEndsAStopOrder() {
		this.owner.accept(new Brake(Brake.Scope.FINGERPRINT, "bad", "test", new HostId("h2"), 7, 0));
		this.owner.endStopOrder("bad", 7);
		assertThat(this.owner.beforeDispatch(request("bad", "q1"), 1)).isPresent();
		this.owner.endStopOrder("bad", 8);
		assertThat(this.owner.beforeDispatch(request("bad", "q2"), 1)).isEmpty();
	}

	private static Optional<Brake> crash(FingerprintCrashGuard guard, String fingerprint, String id) {
		RequestFacts request = request(fingerprint, id);
		guard.beforeDispatch(request, 0);
		return guard.afterAttempt(request, attempt("cut_off"), true, 0);
	}

	private static FingerprintCrashGuard guard(String host, boolean owner) {
		return new FingerprintCrashGuard(new HostId(host), (fingerprint) -> owner, () -> 5, CrashSettings.defaults());
	}

	private static Attempt attempt(String outcome) {
		return new Attempt(new VersionId("v"), new ServerId("s"), Effect.UNKNOWN, OptionalDouble.empty(), outcome, 10);
	}

	private static RequestFacts request(String fingerprint, String id) {
		return new RequestFacts(new RequestId(id), new AccountId("acme"), new ClassId("c"), 0.9, 5000, 10, 10, false,
				Optional.empty(), false, 0, fingerprint, 0);
	}

}
