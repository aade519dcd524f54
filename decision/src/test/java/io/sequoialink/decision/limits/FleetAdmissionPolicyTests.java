package io.sequoialink.decision.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;

import io.sequoialink.decision.RequestFacts;
import io.sequoialink.model.AccountId;
import io.sequoialink.model.AccountLimits;
import io.sequoialink.model.ClassId;
import io.sequoialink.model.ClientAccount;
import io.sequoialink.model.HostId;
import io.sequoialink.model.Labels;
import io.sequoialink.model.Refusal;
import io.sequoialink.model.RefusalCode;
import io.sequoialink.model.RequestId;
import io.sequoialink.model.Selector;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class FleetAdmissionPolicyTests {

	private static final double UNKNOWN = Double.POSITIVE_INFINITY;

	private final List<HostId> hosts = IntStream.range(0, 4).mapToObj((i) -> new HostId("h" + i)).toList();

	private final List<FleetAdmissionPolicy> policies = policies(UNKNOWN);

	private int requests;

	// The load arrives at all hosts, at one host, or at another host after half of the
	// time.
	@ParameterizedTest
	@CsvSource({ "even, true, 1.0", "one, true, 1.0", "moving, true, 1.0", "even, false, 1.0", "one, false, 2.0",
			"moving, false, 2.0" })
	void fleetWideRequestRateStaysWithinTheLimit(String load, boolean connected, double factor) {
		ClientAccount account = account("acme", 0, new AccountLimits(40, 100_000, 1e9));
		Map<Integer, Integer> admitted = new HashMap<>();
		int seconds = 30;
		for (int tick = 0; tick < seconds * 100; tick++) {
			long now = tick * 10L;
			for (int i = 0; i < 4; i++) {
				FleetAdmissionPolicy policy = this.policies.get(targetHost(load, i, tick, seconds));
				if (policy.admit(account, request(account, now + 10_000), now).isEmpty()) {
					policy.release(account, 10, 5, now);
					admitted.merge(tick / 100, 1, Integer::sum);
				}
			}
			if (tick % 50 == 0 && (connected || tick < 100 * seconds / 3)) {
				gossip(now);
			}
		}
		int admittedAfterStart = IntStream.range(3, seconds).map((second) -> admitted.getOrDefault(second, 0)).sum();
		assertThat(admittedAfterStart).isLessThanOrEqualTo((int) (40 * factor * (seconds - 3) + 40));
		if (connected) {
			assertThat(admittedAfterStart).isGreaterThan((int) (40 * 0.75 * (seconds - 3)));
		}
	}

	private static int targetHost(String load, int i, int tick, int seconds) {
		return switch (load) {
			case "even" -> i;
			case "one" -> 0;
			default -> (tick < seconds * 50) ? 0 : 1;
		};
	}

	@Test
	void rejectsAtTheConcurrencyLimitWithRetryAfter() {
		ClientAccount account = account("acme", 0, new AccountLimits(1e6, 8, 1e9));
		FleetAdmissionPolicy policy = this.policies.get(0);
		List<Optional<Refusal>> answers = new ArrayList<>();
		for (int i = 0; i < 5; i++) {
			answers.add(policy.admit(account, request(account, 10_000), 0));
		}
		assertThat(answers.subList(0, 2)).containsOnly(Optional.empty());
		assertThat(answers.get(4)).hasValueSatisfying((refusal) -> {
			assertThat(refusal.code()).isEqualTo(RefusalCode.LIMIT_REACHED);
			assertThat(refusal.retryAfter()).isPresent();
		});
		policy.release(account, 10, 5, 0);
		assertThat(policy.admit(account, request(account, 10_000), 0)).isEmpty();
	}

	@Test
	void newHostAdmitsItsShareOfThePoolCapacity() {
		FleetAdmissionPolicy policy = policies(800).get(0);
		ClientAccount account = account("acme", 0, new AccountLimits(1e6, 100_000, 1e9));
		long admitted = IntStream.range(0, 1_000)
			.filter((i) -> policy.admit(account, request(account, 10_000), 0).isEmpty())
			.count();
		assertThat(admitted).isGreaterThanOrEqualTo(800 / this.hosts.size());
	}

	@Test
	void admitsSmallAccountWhileALargeOneFillsThePool() {
		FleetAdmissionPolicy policy = policies(40).get(0);
		ClientAccount large = account("large", 0, AccountLimits.UNLIMITED);
		ClientAccount small = account("small", 0, AccountLimits.UNLIMITED);
		policy.admit(small, request(small, 10_000), 0);
		for (int i = 0; i < 100; i++) {
			policy.admit(large, request(large, 10_000), 0);
		}
		assertThat(policy.admit(large, request(large, 10_000), 0)).isPresent();
		assertThat(policy.admit(small, request(small, 10_000), 0)).isEmpty();
	}

	@Test
	void shedsLowerPrioritiesFirst() {
		FleetAdmissionPolicy policy = policies(80).get(0);
		ClientAccount first = account("first", 0, AccountLimits.UNLIMITED);
		ClientAccount last = account("last", 9, AccountLimits.UNLIMITED);
		int admitted = 0;
		while (policy.admit(last, request(last, 10_000), 0).isEmpty()) {
			admitted++;
		}
		assertThat(admitted).isPositive();
		assertThat(policy.admit(first, request(first, 10_000), 0)).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(longs = { -1, 0, 40 })
	void rejectsDeadlineThatNoRecentAnswerWouldHaveMet(long remaining) {
		ClientAccount account = account("acme", 0, AccountLimits.UNLIMITED);
		FleetAdmissionPolicy policy = this.policies.get(0);
		policy.admit(account, request(account, 10_000), 0);
		policy.release(account, 10, 100, 100);
		assertThat(policy.admit(account, request(account, 1_000 + remaining), 1_000))
			.hasValueSatisfying((refusal) -> assertThat(refusal.code()).isEqualTo(RefusalCode.DEADLINE_IMPOSSIBLE));
	}

	@Test
	void malformedAnnouncementsAreIgnored() {
		Random random = new Random(3);
		for (int i = 0; i < 500; i++) {
			byte[] malformed = new byte[random.nextInt(64)];
			random.nextBytes(malformed);
			this.policies.get(0).applyAnnouncement(malformed, i);
		}
		ClientAccount account = account("acme", 0, AccountLimits.UNLIMITED);
		assertThat(this.policies.get(0).admit(account, request(account, 10_000), 0)).isEmpty();
	}

	private void gossip(long now) {
		for (FleetAdmissionPolicy from : this.policies) {
			byte[] payload = from.announceDemand(now);
			this.policies.forEach((to) -> to.applyAnnouncement(payload, now));
		}
	}

	private List<FleetAdmissionPolicy> policies(double capacity) {
		return this.hosts.stream()
			.map((host) -> new FleetAdmissionPolicy(host, () -> this.hosts, () -> capacity, LimitSettings.defaults()))
			.toList();
	}

	private RequestFacts request(ClientAccount account, long deadline) {
		return new RequestFacts(new RequestId("q" + this.requests++), account.id(), new ClassId("c"), 0.9, deadline, 10,
				10, false, Optional.empty(), false, 0, "aa", account.priority());
	}

	private static ClientAccount account(String id, int priority, AccountLimits limits) {
		return new ClientAccount(new AccountId(id), Labels.none(), "00", Selector.everything(), priority, limits);
	}

}
