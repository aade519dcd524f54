package io.sequoialink.decision.limits;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link CapacityPolicy} with {@link ServiceCapacity} and {@link AccountDemand}:
 * fleets in simulated time, against the same fleets that send each request at once.
 */
class CapacityPolicyTests {

	private static final double SECONDS = 60;

	/** Difference that chance makes between two shares of the requests of a run. */
	private static final double TOLERANCE = 0.05;

	private static final long SEED = 21;

	// Guards against urgent requests that wait behind less urgent ones.
	@ParameterizedTest
	@CsvSource({ "plain,1.3", "plain,1.8", "plain,2.5", "models,1.3", "models,1.8", "models,2.5" })
	void urgentRequestsAreServedFirst(String servers, double load) {
		CapacityFleet fleet = run(setting(servers, load, true));
		CapacityFleet today = run(setting(servers, load, false));
		double[] served = { onTime(fleet, 0), onTime(fleet, 1), onTime(fleet, 2) };
		assertThat(served[1]).isLessThan(served[0] + TOLERANCE);
		assertThat(served[2]).isLessThan(served[1] + TOLERANCE);
		assertThat(served[0]).isGreaterThan(onTime(today, 0) + 0.05);
		assertThat(fleet.onTime((call) -> true)).isGreaterThan(today.onTime((call) -> true));
		assertThat(fleet.rejected((call) -> call.kind.priority() == 2)).isLessThan(0.999);
	}

	// Guards against requests that are held until their time is over.
	@ParameterizedTest
	@ValueSource(strings = { "plain", "models" })
	void whatCannotBeServedIsRejectedAtOnce(String servers) {
		CapacityFleet fleet = run(setting(servers, 2.5, true));
		assertThat(fleet.rejected((call) -> true)).isGreaterThan(0.4);
		assertThat(fleet.rejectionMillis()).isLessThan(60);
	}

	// Guards against restrictions where there is no shortage.
	@ParameterizedTest
	@CsvSource({ "plain,0.6", "plain,0.8", "models,0.6", "models,0.9" })
	void whereEverythingFitsNothingIsRejectedOrHeld(String servers, double load) {
		CapacityFleet fleet = run(setting(servers, load, true));
		CapacityFleet today = run(setting(servers, load, false));
		assertThat(fleet.rejected((call) -> true)).isLessThanOrEqualTo(today.rejected((call) -> true) + 0.001);
		assertThat(fleet.held()).isZero();
		assertThat(fleet.onTime((call) -> true)).isGreaterThanOrEqualTo(today.onTime((call) -> true) - 0.005);
	}

	// Guards against an account that takes the capacity of others.
	@ParameterizedTest
	@ValueSource(strings = { "plain", "models" })
	void heavyAccountComesAfterOthers(String servers) {
		CapacityFleet fleet = run(setting(servers, 1, true).heavy(7.5));
		CapacityFleet today = run(setting(servers, 1, false).heavy(7.5));
		double others = fleet.onTime((call) -> !call.account.equals(CapacityFleet.HEAVY));
		assertThat(others).isGreaterThan(fleet.onTime((call) -> call.account.equals(CapacityFleet.HEAVY)) + 0.15);
		assertThat(others).isGreaterThan(run(setting(servers, 1, true)).onTime((call) -> true) - 0.1);
		assertThat(others).isGreaterThan(today.onTime((call) -> !call.account.equals(CapacityFleet.HEAVY)) + 0.05);
		CapacityFleet fits = run(setting(servers, 0.75, true).heavy(7.5));
		CapacityFleet without = run(setting(servers, 0.75, true));
		assertThat(fits.onTime((call) -> !call.account.equals(CapacityFleet.HEAVY)))
			.isGreaterThan(without.onTime((call) -> true) - TOLERANCE);
	}

	// Guards against callers that gain by retrying at once, also while hosts come and go.
	@ParameterizedTest
	@ValueSource(strings = { "plain", "models" })
	void retryingAtOnceGainsNothing(String servers) {
		CapacityFleet fleet = run(setting(servers, 1.5, true).withUnrest());
		assertThat(fleet.onTime((call) -> call.retries)).isLessThan(fleet.onTime((call) -> !call.retries) + TOLERANCE);
	}

	// Guards against figures that hold for one size of the fleet only.
	@ParameterizedTest
	@ValueSource(ints = { 8, 330 })
	void otherNumbersOfHostsServeUrgentRequestsFirst(int hosts) {
		CapacityFleet fleet = run(setting("plain", 1.8, true).hosts(hosts));
		assertThat(onTime(fleet, 0)).isGreaterThan(0.5).isGreaterThan(onTime(fleet, 1) - TOLERANCE);
		assertThat(onTime(fleet, 1)).isGreaterThan(onTime(fleet, 2) - TOLERANCE);
	}

	// Guards against a rejection because of one report, which may be old.
	@Test
	void oneReportRejectsNothing() {
		ServiceCapacity room = new ServiceCapacity();
		room.reported(1, 6, 24, 6, 393, 0);
		room.reported(1, 6, 24, 6, 393, 1_000_000_000L);
		assertThat(room.share(1_000_000_000L)).isEqualTo(1);
	}

	// Guards against a request with a long target that is held after the rejections which
	// it waits out have lapsed.
	@ParameterizedTest
	@ValueSource(longs = { 393, 8000 })
	void aHeldRequestIsDecidedOnAgainWhenTheRejectionsLapse(long targetMillis) {
		ServiceCapacity capacity = new ServiceCapacity();
		capacity.rejected(1, 0);
		AccountDemand demand = new AccountDemand();
		demand.arrived("a", 0, 0.5, 50_000_000L);
		CapacityDecision decision = CapacityPolicy.decide(capacity, demand,
				new CapacityRequest("a", 0, targetMillis, 20_000, 0, List.of(1L)), 50_000_000L);
		assertThat(decision.kind()).isEqualTo(CapacityDecision.Kind.HOLD);
		assertThat(decision.waitMillis()).isBetween(1L, Math.min(150, targetMillis / 8));
	}

	private static CapacityFleet.Setting setting(String servers, double load, boolean withPolicy) {
		return servers.equals("plain") ? CapacityFleet.Setting.plain(load, withPolicy)
				: CapacityFleet.Setting.models(load, withPolicy);
	}

	private static CapacityFleet run(CapacityFleet.Setting setting) {
		return new CapacityFleet(setting, SEED).run(SECONDS);
	}

	private static double onTime(CapacityFleet fleet, int priority) {
		return fleet.onTime((call) -> call.kind.priority() == priority);
	}

}
