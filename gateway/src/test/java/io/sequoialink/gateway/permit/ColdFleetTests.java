package io.sequoialink.gateway.permit;

import java.util.SplittableRandom;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The limit of cold servers over all hosts together, in simulated time: a zone returns
 * cold while a third of the hosts is out of touch and the traffic is 1.8 times the usual.
 */
class ColdFleetTests {

	private static final int SERVERS = 42;

	private static final int USUAL_PER_SECOND = 5;

	private static final double TRAFFIC = 1.8;

	private static final double COLD_PER_SECOND = 12;

	private static final int COLD_MILLIS = 4500;

	/** 1.5 times the rate and 5. */
	private static final int ALLOWED_IN_SECOND = 23;

	/** Time within which a registration reaches all hosts that read it. */
	private static final int REGISTRATION_LAG_MILLIS = 500;

	private static final int SEEDS = Integer.getInteger("cold.seeds", 2);

	/** How the third of the hosts is out of touch. */
	enum OutOfTouch {

		NONE, REACH_NO_HOST, NEVER_HEAR, REACH_NO_HOST_AND_NEVER_HEAR;

		private boolean hears(int host) {
			return host % 3 != 0 || this == NONE || this == REACH_NO_HOST;
		}

		private boolean cut(int from, int to) {
			boolean oneIsOut = from % 3 == 0 || to % 3 == 0;
			return oneIsOut && (this == REACH_NO_HOST || this == REACH_NO_HOST_AND_NEVER_HEAR);
		}

	}

	// Guards against servers that crash in their first seconds, since a host that is out
	// of touch sends them its usual part while the others use the whole limit.
	@ParameterizedTest
	@CsvSource({ "8, 14, NONE", "79, 14, NONE", "330, 14, NONE", "8, 14, REACH_NO_HOST", "79, 14, REACH_NO_HOST",
			"330, 14, REACH_NO_HOST", "8, 14, NEVER_HEAR", "79, 14, NEVER_HEAR", "330, 14, NEVER_HEAR",
			"8, 14, REACH_NO_HOST_AND_NEVER_HEAR", "79, 14, REACH_NO_HOST_AND_NEVER_HEAR",
			"330, 14, REACH_NO_HOST_AND_NEVER_HEAR", "79, 42, NONE", "79, 42, REACH_NO_HOST", "79, 42, NEVER_HEAR",
			"79, 42, REACH_NO_HOST_AND_NEVER_HEAR" })
	void zoneThatReturnsColdGetsNoMoreThanItBears(int hosts, int cold, OutOfTouch outOfTouch) {
		for (long seed = 1; seed <= SEEDS; seed++) {
			run(hosts, cold, outOfTouch, false, seed);
		}
	}

	// Without a limit each server would get 27 requests a second here: servers that have
	// nothing to do yet attract the requests of all hosts.
	@ParameterizedTest
	@CsvSource({ "8, NONE", "79, NONE", "330, NONE", "8, REACH_NO_HOST", "79, REACH_NO_HOST", "330, REACH_NO_HOST" })
	void hostsThatPreferTheReturningZoneKeepTheLimit(int hosts, OutOfTouch outOfTouch) {
		for (long seed = 1; seed <= SEEDS; seed++) {
			run(hosts, 14, outOfTouch, true, seed);
		}
	}

	private static void run(int hosts, int cold, OutOfTouch outOfTouch, boolean preferred, long seed) {
		PermitFleet fleet = new PermitFleet(AdmissionWay.PERMITS, hosts, SERVERS,
				TRAFFIC * USUAL_PER_SECOND * SERVERS / hosts, seed);
		fleet.run(3000);
		fleet.cutDatagrams(outOfTouch::cut);
		long from = fleet.nowMillis();
		turnCold(fleet, cold, outOfTouch, new SplittableRandom(seed));
		if (preferred) {
			fleet.run(REGISTRATION_LAG_MILLIS);
			fleet.prefer(fleet.servers().subList(0, cold));
		}
		fleet.run(from + COLD_MILLIS - fleet.nowMillis());
		double served = 0;
		for (LimitedServer server : fleet.servers().subList(0, cold)) {
			assertThat(server.mostInSecond(from, fleet.nowMillis())).as("requests in a second, seed %s", seed)
				.isLessThanOrEqualTo(ALLOWED_IN_SECOND);
			served += server.arrivalsPerSecond(from, fleet.nowMillis());
		}
		assertThat(served / cold).as("requests a second of each server, seed %s", seed).isGreaterThan(1);
	}

	private static void turnCold(PermitFleet fleet, int cold, OutOfTouch outOfTouch, SplittableRandom random) {
		for (LimitedServer server : fleet.servers().subList(0, cold)) {
			long incarnation = random.nextBoolean() ? server.hash() : random.nextLong();
			for (int host = 0; host < fleet.size(); host++) {
				if (outOfTouch.hears(host)) {
					int hearing = host;
					int lag = random.nextInt(REGISTRATION_LAG_MILLIS);
					fleet.after(lag, () -> fleet.tellCold(hearing, server, incarnation, COLD_PER_SECOND, COLD_MILLIS));
				}
			}
		}
	}

}
