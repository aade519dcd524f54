package io.sequoialink.gateway.permit;

import java.util.SplittableRandom;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The limit of a server over all hosts together, in simulated time.
 */
class PermitFleetTests {

	private static final int SERVERS = 12;

	private static final int LARGE_FLEET = 100;

	// Large fleets take long to simulate; -Dpermit.seeds=N plays more seeds of them.
	private static int seeds(int hosts, int few) {
		return (hosts > LARGE_FLEET) ? Integer.getInteger("permit.seeds", 1) : few;
	}

	private static void assertBoundKept(PermitFleet fleet, String what) {
		for (LimitedServer server : fleet.servers()) {
			assertThat(server.mostInWindow()).as("requests in 4 s, %s", what)
				.isLessThanOrEqualTo(server.allowedInWindow());
		}
	}

	// Guards against the incident LIMIT at the size of today's and of later fleets.
	@ParameterizedTest
	@CsvSource({ "6, 1.1, 1", "6, 20, 1", "6, 1.1, 12", "95, 1.1, 1", "95, 1.1, 12", "95, 20, 12", "330, 1.1, 1",
			"330, 1.1, 12", "330, 50, 12", "95, 0, 3", "330, 0.2, 3" })
	void limitHoldsOverAllHosts(int hosts, double limit, int limited) {
		for (long seed = 1; seed <= seeds(hosts, 3); seed++) {
			PermitFleet fleet = new PermitFleet(AdmissionWay.PERMITS, hosts, SERVERS, 2.5, seed);
			fleet.run(2000);
			for (int i = 0; i < limited; i++) {
				fleet.server(i).setLimit(limit, fleet.nowMillis());
			}
			fleet.run(20_000);
			assertBoundKept(fleet, "seed " + seed);
		}
	}

	// A limited server keeps its part of the requests, so that it can lift its limit.
	@ParameterizedTest
	@CsvSource({ "6, 1.1, 1, 8", "6, 1.1, 12, 2.5", "95, 1.1, 1, 2.5", "95, 1.1, 12, 2.5", "330, 1.1, 12, 2.5",
			"330, 10, 12, 2.5" })
	void limitedServerGetsMostOfItsLimit(int hosts, double limit, int limited, double requestsPerHost) {
		PermitFleet fleet = new PermitFleet(AdmissionWay.PERMITS, hosts, SERVERS, requestsPerHost, 5);
		for (int i = 0; i < limited; i++) {
			fleet.server(i).setLimit(limit, fleet.nowMillis());
		}
		fleet.run(5000);
		long from = fleet.nowMillis();
		fleet.run(30_000);
		double possible = Math.min(limited * limit, hosts * requestsPerHost);
		double got = fleet.servers()
			.subList(0, limited)
			.stream()
			.mapToDouble((server) -> server.arrivalsPerSecond(from, fleet.nowMillis()))
			.sum();
		assertThat(got).as("of %s possible", possible).isGreaterThan(0.8 * possible);
	}

	// While some servers are unlimited, no request is rejected for the others' limits.
	@ParameterizedTest
	@CsvSource({ "6", "95", "330" })
	void unlimitedServersTakeTheRest(int hosts) {
		PermitFleet fleet = new PermitFleet(AdmissionWay.PERMITS, hosts, SERVERS, 2.5, 6);
		for (int i = 0; i < SERVERS - 1; i++) {
			fleet.server(i).setLimit(1.1, fleet.nowMillis());
		}
		fleet.run(20_000);
		assertThat(fleet.servedShare()).isGreaterThan(0.98);
	}

	// The answers of a server lift, lower and raise its limit for all hosts.
	@ParameterizedTest
	@CsvSource({ "6", "95", "330" })
	void changedLimitReachesAllHosts(int hosts) {
		PermitFleet fleet = new PermitFleet(AdmissionWay.PERMITS, hosts, 3, 2.5, 7);
		LimitedServer server = fleet.server(0);
		double unlimited = hosts * 2.5 / 3;
		for (double limit : new double[] { 4, 0.5, 3, 0, -1, 2, -1 }) {
			server.setLimit(limit, fleet.nowMillis());
			fleet.run(25_000);
			double rate = server.arrivalsPerSecond(fleet.nowMillis() - 8000, fleet.nowMillis());
			if (limit < 0) {
				assertThat(rate).as("without a limit").isGreaterThan(0.8 * unlimited);
			}
			else {
				assertThat(rate).as("with a limit of %s", limit).isLessThanOrEqualTo(1.1 * limit + 0.7);
			}
		}
	}

	// Hosts that die, return with nothing known, freeze, come, and lose datagrams; the
	// bound holds for the others.
	@ParameterizedTest
	@CsvSource({ "6, 1.1", "6, 20", "95, 1.1", "95, 20", "330, 1.1", "330, 50" })
	void limitHoldsWhileHostsComeAndGo(int hosts, double limit) {
		for (long seed = 1; seed <= seeds(hosts, 4); seed++) {
			SplittableRandom random = new SplittableRandom(seed);
			PermitFleet fleet = new PermitFleet(AdmissionWay.PERMITS, hosts, 4, 2.5, seed);
			for (LimitedServer server : fleet.servers()) {
				server.setLimit(limit, fleet.nowMillis());
			}
			for (int round = 0; round < 12; round++) {
				disturb(fleet, hosts, random);
				fleet.run(1000 + random.nextInt(2000));
			}
			assertBoundKept(fleet, "seed " + seed);
		}
	}

	private static void disturb(PermitFleet fleet, int hosts, SplittableRandom random) {
		int target = random.nextInt(hosts);
		switch (random.nextInt(6)) {
			case 0, 1 -> {
				fleet.kill(target);
				fleet.run(random.nextInt(3000));
				fleet.restart(target);
			}
			case 2 -> fleet.freeze(target, 500 + random.nextInt(3500));
			case 3 -> fleet.add();
			case 4 -> fleet.loseDatagrams(0.3 * random.nextDouble());
			default -> {
				fleet.kill(target);
				fleet.restart(target);
			}
		}
	}

	// Hosts that lose touch with one another, but not with the servers, keep the limit.
	@ParameterizedTest
	@CsvSource({ "6, 1.1, 2", "6, 20, 2", "95, 1.1, 2", "95, 20, 2", "330, 20, 2", "6, 1.1, 6", "6, 20, 6",
			"95, 1.1, 95", "95, 20, 95", "330, 50, 330" })
	void limitHoldsWhileHostsDoNotReachOneAnother(int hosts, double limit, int parts) {
		for (long seed = 1; seed <= seeds(hosts, 3); seed++) {
			PermitFleet fleet = new PermitFleet(AdmissionWay.PERMITS, hosts, 4, 2.5, seed);
			for (LimitedServer server : fleet.servers()) {
				server.setLimit(limit, fleet.nowMillis());
			}
			fleet.run(5000);
			fleet.cutDatagrams((from, to) -> from % parts != to % parts);
			fleet.run(25_000);
			fleet.cutDatagrams((from, to) -> false);
			fleet.run(10_000);
			assertBoundKept(fleet, "seed " + seed);
		}
	}

}
