package io.sequoialink.decision.crash;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class CrashReportsTests {

	private static final long FINGERPRINT = 17;

	private static final long OTHER_FINGERPRINT = 18;

	private static final long SETTLED = TimeUnit.SECONDS.toNanos(100);

	private final CrashReports reports = new CrashReports("h1");

	private static long millis(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	private static ServerCrash crash(String server, long atMillis) {
		return crash(server, atMillis - 1000, atMillis);
	}

	private static ServerCrash crash(String server, long sentMillis, long atMillis) {
		return new ServerCrash(server, millis(sentMillis), millis(atMillis), true);
	}

	private boolean recordCrash(long fingerprint, String server, long atMillis) {
		return this.reports.recordCrash(fingerprint, server, millis(atMillis), millis(atMillis + 1));
	}

	private boolean blocked(long fingerprint) {
		return this.reports.verdict(fingerprint, SETTLED) == CrashVerdict.BLOCKED;
	}

	@Test
	void aRequestThatCrashesOneServerAfterTheOtherIsBlocked() {
		assertThat(recordCrash(FINGERPRINT, "s1", 0)).isTrue();
		assertThat(recordCrash(FINGERPRINT, "s2", 11)).isTrue();
		assertThat(blocked(FINGERPRINT)).isFalse();
		assertThat(recordCrash(FINGERPRINT, "s3", 21)).isTrue();
		assertThat(blocked(FINGERPRINT)).isTrue();
		assertThat(blocked(FINGERPRINT + 1)).isFalse();
	}

	@Test
	void theVerdictIsHeldUntilOtherHostsHaveReported() {
		recordCrash(FINGERPRINT, "s1", 0);
		recordCrash(FINGERPRINT, "s2", 11);
		recordCrash(FINGERPRINT, "s3", 21);
		assertThat(this.reports.verdict(FINGERPRINT, millis(30))).isEqualTo(CrashVerdict.HELD);
		assertThat(this.reports.verdict(FINGERPRINT, millis(1600))).isEqualTo(CrashVerdict.BLOCKED);
	}

	@Test
	void aPopularRequestIsNotBlockedBecauseServersCrashTogether() {
		for (int i = 0; i < 20; i++) {
			this.reports.recordCrash(FINGERPRINT, "s" + i, millis(i), millis(100));
		}
		for (int host = 2; host < 90; host++) {
			this.reports.replaceReport("h" + host, Map.of(FINGERPRINT, List.of(crash("s" + host, 100 + 7 * host))));
		}
		assertThat(this.reports.crashes(FINGERPRINT)).isEqualTo(1);
	}

	// In a soak test a fingerprint was blocked whose requests had only been in progress
	// beside the crashing one: on one host twice with no other request of that host,
	// although other hosts lost other requests on the same servers, and once on another
	// host.
	@Test
	void requestsThatOtherHostsLostOnTheSameServersCountAsSuspects() {
		recordCrash(FINGERPRINT, "s1", 0);
		recordCrash(FINGERPRINT, "s2", 1100);
		this.reports.replaceReport("h2", Map.of(FINGERPRINT, List.of(crash("s3", 2300)), OTHER_FINGERPRINT,
				List.of(crash("s1", 0), crash("s2", 1100), crash("s3", 2300))));
		assertThat(this.reports.crashes(FINGERPRINT)).isEqualTo(3);
		assertThat(blocked(FINGERPRINT)).isFalse();
		assertThat(blocked(OTHER_FINGERPRINT)).isFalse();
		this.reports.replaceReport("h3", Map.of(OTHER_FINGERPRINT, List.of(crash("s4", 4000))));
		assertThat(blocked(OTHER_FINGERPRINT)).isTrue();
		assertThat(blocked(FINGERPRINT)).isFalse();
	}

	@ParameterizedTest
	@CsvSource({ "3, 0, true", "3, 1, true", "3, 2, false", "3, 3, false", "4, 2, true", "4, 3, false", "4, 4, false",
			"5, 3, true", "5, 4, true", "5, 5, false", "6, 6, true" })
	void aFingerprintThatSharesItsCrashesWithAnotherNeedsMoreCrashes(int crashes, int shared, boolean blocked) {
		for (int i = 0; i < crashes; i++) {
			recordCrash(FINGERPRINT, "s" + i, 20 * i);
			recordCrash((i < shared) ? OTHER_FINGERPRINT : 100 + i, "s" + i, 20 * i);
		}
		assertThat(blocked(FINGERPRINT)).isEqualTo(blocked);
	}

	@ParameterizedTest
	@CsvSource({ "2, false", "3, true" })
	void aFingerprintThatWasOnceTheOnlySuspectNeedsThreeCrashes(int crashes, boolean blocked) {
		for (int i = 0; i < crashes; i++) {
			recordCrash(FINGERPRINT, "s" + i, 20 * i);
			if (i > 0) {
				recordCrash(OTHER_FINGERPRINT, "s" + i, 20 * i);
			}
		}
		assertThat(blocked(FINGERPRINT)).isEqualTo(blocked);
	}

	// In a soak test three hosts lost five servers to one fingerprint within 80 ms, which
	// count as two crashes since they might be one event; two other fingerprints were
	// lost on two of the six servers each.
	@Test
	void serversThatCountAsOneCrashStillDistinguishFingerprints() {
		this.reports.replaceReport("h7", Map.of(FINGERPRINT, List.of(crash("s1", 0), crash("s2", 12)), 200L,
				List.of(crash("s4", 46), crash("s5", 71))));
		this.reports.replaceReport("h5",
				Map.of(FINGERPRINT, List.of(crash("s3", 35), crash("s4", 46), crash("s6", 2844))));
		this.reports.replaceReport("h3", Map.of(FINGERPRINT, List.of(crash("s5", 83)), 201L, List.of(crash("s1", 0))));
		this.reports.replaceReport("h1", Map.of(202L, List.of(crash("s4", 46), crash("s5", 71)), 203L,
				List.of(crash("s6", 2844)), 204L, List.of(crash("s2", 12)), 205L, List.of(crash("s3", 35))));
		assertThat(this.reports.crashes(FINGERPRINT)).isEqualTo(3);
		assertThat(blocked(FINGERPRINT)).isTrue();
		assertThat(blocked(200)).isFalse();
	}

	// In a soak test a client went with its request from one host to the next, and five
	// servers crashed within half a second; they counted as two crashes, and five more
	// followed.
	@Test
	void consecutiveCrashesOnSeveralHostsEachCount() {
		this.reports.replaceReport("h5", Map.of(FINGERPRINT, List.of(crash("s1", 260, 277), crash("s2", 280, 367))));
		this.reports.replaceReport("h3", Map.of(FINGERPRINT, List.of(crash("s3", 340, 363), crash("s4", 370, 402))));
		this.reports.replaceReport("h2", Map.of(FINGERPRINT, List.of(crash("s5", 780, 795))));
		assertThat(this.reports.crashes(FINGERPRINT)).isEqualTo(3);
		assertThat(blocked(FINGERPRINT)).isTrue();
	}

	@ParameterizedTest
	@CsvSource({ "-500, 190", "-1, 700", "0, 190" })
	void crashesThatOnlyClockDifferencesMaySeparateCountOnce(long sentMillis, long atMillis) {
		this.reports.replaceReport("h5", Map.of(FINGERPRINT, List.of(crash("s1", -10, 0))));
		this.reports.replaceReport("h3", Map.of(FINGERPRINT, List.of(crash("s2", sentMillis, atMillis))));
		assertThat(this.reports.crashes(FINGERPRINT)).isEqualTo(1);
	}

	@Test
	void theReportsOfAllHostsHoldARequestBeforeItIsSentAgain() {
		for (int i = 0; i < 4; i++) {
			this.reports.replaceReport("h" + (2 + i), Map.of(200L + i, List.of(crash("s" + i, 40 * i))));
		}
		this.reports.replaceReport("h7",
				Map.of(FINGERPRINT, List.of(crash("s0", 0), crash("s1", 40), crash("s2", 80), crash("s3", 120))));
		assertThat(this.reports.verdict(FINGERPRINT, millis(900))).isEqualTo(CrashVerdict.HELD);
		assertThat(blocked(FINGERPRINT)).isTrue();
	}

	@Test
	void crashesOfABlockedFingerprintDoNotCountAgainstOthers() {
		for (int i = 0; i < 7; i++) {
			recordCrash(FINGERPRINT, "s" + i, 20 * i);
			if (i < 6) {
				recordCrash(OTHER_FINGERPRINT, "s" + i, 20 * i);
			}
		}
		assertThat(blocked(FINGERPRINT)).isTrue();
		assertThat(blocked(OTHER_FINGERPRINT)).isFalse();
	}

	@Test
	void aRequestThatSucceedsBetweenCrashesIsNeverBlocked() {
		for (int i = 0; i < 10; i++) {
			recordCrash(FINGERPRINT, "s" + i, 1000 * i);
			this.reports.recordCompleteResponse(FINGERPRINT, millis(1000 * i + 500));
			this.reports.replaceReport("h2", Map.of(FINGERPRINT, List.of(crash("t1", 20), crash("t2", 1000 * i + 20))));
		}
		assertThat(this.reports.anySuspects()).isFalse();
	}

	@Test
	void crashesThatAHostNoLongerReportsAreRemoved() {
		this.reports.replaceReport("h2", Map.of(FINGERPRINT, List.of(crash("s1", 0), crash("s2", 2000))));
		this.reports.replaceReport("h2", Map.of(OTHER_FINGERPRINT, List.of(crash("s3", 4000))));
		assertThat(this.reports.crashes(FINGERPRINT)).isZero();
		assertThat(this.reports.crashes(OTHER_FINGERPRINT)).isEqualTo(1);
	}

	@ParameterizedTest
	@CsvSource({ "1,0,1,5000,1,10000,3", "1,0,1,300,1,700,1", "2,0,1,500,1,5000,3", "3,0,0,0,0,0,3",
			"2,0,2,5000,0,0,4" })
	void crashesOfSeveralHostsAddUpUnlessTheyMayBeOneEvent(int first, long firstAt, int second, long secondAt,
			int third, long thirdAt, int expected) {
		this.reports.replaceReport("h2", Map.of(FINGERPRINT, crashes("a", first, firstAt)));
		this.reports.replaceReport("h3", Map.of(FINGERPRINT, crashes("b", second, secondAt)));
		this.reports.replaceReport("h4", Map.of(FINGERPRINT, crashes("c", third, thirdAt)));
		assertThat(this.reports.crashes(FINGERPRINT)).isEqualTo(expected);
	}

	private static List<ServerCrash> crashes(String prefix, int count, long lastAtMillis) {
		List<ServerCrash> crashes = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			crashes.add(crash(prefix + i, lastAtMillis));
		}
		return crashes;
	}

	@Test
	void theCrashOfAServerCountsOnceHoweverManyHostsObserveItAtWhateverTime() {
		recordCrash(FINGERPRINT, "s1", 0);
		this.reports.replaceReport("h2", Map.of(FINGERPRINT, List.of(crash("s1", 5000))));
		this.reports.replaceReport("h3", Map.of(FINGERPRINT, List.of(crash("s1", -5000))));
		assertThat(this.reports.crashes(FINGERPRINT)).isEqualTo(1);
	}

	@Test
	void aRestartedHostContinuesFromItsPublishedReport() {
		this.reports.replaceReport("h1", Map.of(FINGERPRINT, List.of(crash("s1", 0), crash("s2", 5))));
		assertThat(recordCrash(FINGERPRINT, "s3", 10)).isTrue();
		this.reports.replaceReport("h1", Map.of(FINGERPRINT, List.of(crash("s1", 0), crash("s2", 5))));
		assertThat(this.reports.ownCrashes().get(FINGERPRINT)).extracting(ServerCrash::server)
			.containsExactly("s1", "s2", "s3");
	}

	@Test
	void anOldReportExpiresEvenIfAnotherHostStillReportsTheFingerprint() {
		this.reports.replaceReport("h2",
				Map.of(FINGERPRINT, List.of(crash("s1", 0), crash("s2", 20), crash("s3", 40))));
		this.reports.replaceReport("h3", Map.of(FINGERPRINT, List.of(crash("s4", 500_000))));
		long late = CrashReports.RETENTION_NANOS + millis(100);
		assertThat(this.reports.verdict(FINGERPRINT, late)).isEqualTo(CrashVerdict.BLOCKED);
		this.reports.expire(late);
		assertThat(this.reports.crashes(FINGERPRINT)).isEqualTo(1);
		assertThat(this.reports.verdict(FINGERPRINT, late)).isEqualTo(CrashVerdict.FREE);
	}

	// Innocent requests are in progress on random hosts beside one that crashes every
	// server, while servers also crash by themselves; all hosts know all reports.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 })
	void amongManyInnocentFingerprintsOnlyTheCrashingOneIsBlocked(long seed) {
		Random random = new Random(seed);
		int crashes = 0;
		long now = 0;
		while (!blocked(FINGERPRINT) && crashes < 12) {
			crashes++;
			now += 1500;
			Map<Long, List<ServerCrash>> seen = this.reports.ownCrashes();
			String server = "s" + crashes;
			recordCrash(FINGERPRINT, server, now);
			for (int beside = 0; beside < 4; beside++) {
				recordCrash(1000 + random.nextInt(12), server, now);
			}
			assertThat(seen).hasSizeLessThan(14);
		}
		assertThat(crashes).isLessThanOrEqualTo(6);
		for (int innocent = 1000; innocent < 1012; innocent++) {
			assertThat(blocked(innocent)).isFalse();
		}
	}

	@Test
	void fingerprintsExpireAndTheirNumberIsBounded() {
		for (int fingerprint = 0; fingerprint < 5000; fingerprint++) {
			this.reports.recordCrash(fingerprint, "s1", millis(0), millis(1));
		}
		assertThat(this.reports.ownCrashes()).hasSizeLessThanOrEqualTo(512);
		for (int i = 0; i < 50; i++) {
			recordCrash(FINGERPRINT, "t" + i, 10 * i);
		}
		assertThat(this.reports.ownCrashes().get(FINGERPRINT)).hasSize(CrashReports.MAX_CRASHES_PER_HOST);
		this.reports.expire(CrashReports.RETENTION_NANOS + millis(502));
		assertThat(this.reports.anySuspects()).isFalse();
	}

}
