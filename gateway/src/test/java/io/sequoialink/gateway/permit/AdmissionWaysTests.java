package io.sequoialink.gateway.permit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The ways to keep a limit that were weighed, in simulated time. Logs the figures of the
 * design note.
 */
class AdmissionWaysTests {

	private static final Logger logger = LoggerFactory.getLogger(AdmissionWaysTests.class);

	private static final int SERVERS = 4;

	private static final long SECONDS = 20;

	private static PermitFleet run(AdmissionWay way, int hosts, double limit, double requestsPerHost) {
		PermitFleet fleet = new PermitFleet(way, hosts, SERVERS, requestsPerHost, 11);
		fleet.run(2000);
		fleet.servers().forEach((server) -> server.setLimit(limit, fleet.nowMillis()));
		fleet.run(5000);
		fleet.resetCounts();
		fleet.run(SECONDS * 1000);
		int most = fleet.servers().stream().mapToInt(LimitedServer::mostInWindow).max().orElseThrow();
		logger.info(
				"{} hosts, limit {}, {} requests/s of all hosts, {}: at most {} in 4 s (allowed {}), served {}, {} B/s a host",
				hosts, String.format("%.1f", limit), String.format("%.1f", hosts * requestsPerHost), way, most,
				fleet.server(0).allowedInWindow(), String.format("%.2f", fleet.servedShare()),
				Math.round(fleet.bytesPerHostAndSecond(SECONDS)));
		return fleet;
	}

	// A limit that each host keeps for itself is no limit of the fleet.
	@ParameterizedTest
	@CsvSource({ "6, IGNORE", "95, IGNORE", "330, IGNORE", "6, EACH_ALONE", "95, EACH_ALONE", "330, EACH_ALONE" })
	void limitThatHostsIgnoreOrKeepAloneIsExceeded(int hosts, AdmissionWay way) {
		PermitFleet fleet = run(way, hosts, 1.1, 2.5);
		assertThat(fleet.server(0).mostInWindow()).isGreaterThan(fleet.server(0).allowedInWindow());
	}

	// The requests are four fifths of what the servers take, much or little on each host.
	@ParameterizedTest
	@CsvSource({ "6, 2.5", "95, 2.5", "330, 2.5", "6, 0.6", "95, 0.04", "330, 0.011" })
	void permitsServeMoreRequestsThanFixedSharesOfHosts(int hosts, double requestsPerHost) {
		double limit = hosts * requestsPerHost / (0.8 * SERVERS);
		double equal = run(AdmissionWay.EQUAL_SHARES, hosts, limit, requestsPerHost).servedShare();
		double few = run(AdmissionWay.FEW_HOSTS, hosts, limit, requestsPerHost).servedShare();
		PermitFleet permits = run(AdmissionWay.PERMITS, hosts, limit, requestsPerHost);
		assertThat(permits.servedShare()).isGreaterThan(equal).isGreaterThan(few);
		assertThat(permits.server(0).mostInWindow()).isLessThanOrEqualTo(permits.server(0).allowedInWindow());
	}

	// What a host sends does not grow with the number of hosts.
	@ParameterizedTest
	@CsvSource({ "6", "95", "330" })
	void permitsCostLittleOnEachHost(int hosts) {
		PermitFleet fleet = run(AdmissionWay.PERMITS, hosts, 20, 13);
		assertThat(fleet.bytesPerHostAndSecond(SECONDS)).isLessThan(15_000);
	}

}
