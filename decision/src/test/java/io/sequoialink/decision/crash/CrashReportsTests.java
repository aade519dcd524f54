package io.sequoialink.decision.crash;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class CrashReportsTests {

	private static final long CONTENT = 17;

	private final CrashReports reports = new CrashReports("h1");

	private static long millis(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	@Test
	void oneRequestThatCrashesOneServerAfterTheOtherIsBlocked() {
		assertThat(this.reports.crashed(CONTENT, millis(0), millis(10), true)).isTrue();
		assertThat(this.reports.crashed(CONTENT, millis(11), millis(20), true)).isTrue();
		assertThat(this.reports.blocked(CONTENT)).isFalse();
		assertThat(this.reports.crashed(CONTENT, millis(21), millis(30), true)).isTrue();
		assertThat(this.reports.blocked(CONTENT)).isTrue();
		assertThat(this.reports.blocked(CONTENT + 1)).isFalse();
	}

	@Test
	void contentThatManyClientsAskForIsNotBlamedForServersThatCrashTogether() {
		for (int i = 0; i < 20; i++) {
			this.reports.crashed(CONTENT, millis(i), millis(100), false);
		}
		for (int host = 2; host < 90; host++) {
			this.reports.reported("h" + host, CONTENT, new CrashReports.Report(1, 1, millis(100 + 7 * host)));
		}
		assertThat(this.reports.crashes(CONTENT)).isEqualTo(1);
	}

	// In a soak a request was told to stay away that had been lost beside one which
	// crashes servers, each time on the server that both were sent to next.
	@ParameterizedTest
	@CsvSource({ "3, false, false", "4, false, false", "5, false, true", "2, true, false", "3, true, true" })
	void whatIsAlwaysLostInCompanyNeedsMoreCrashes(int crashes, boolean onceAlone, boolean blocked) {
		for (int i = 0; i < crashes; i++) {
			this.reports.crashed(CONTENT, millis(20 * i), millis(20 * i + 10), onceAlone && i == 1);
		}
		assertThat(this.reports.blocked(CONTENT)).isEqualTo(blocked);
	}

	@Test
	void contentThatIsAnsweredBetweenCrashesIsNeverBlocked() {
		for (int i = 0; i < 10; i++) {
			this.reports.crashed(CONTENT, millis(1000 * i), millis(1000 * i + 10), true);
			this.reports.answered(CONTENT, millis(1000 * i + 500));
			this.reports.reported("h2", CONTENT, new CrashReports.Report(5, 1, millis(1000 * i + 20)));
		}
		assertThat(this.reports.any()).isFalse();
	}

	@ParameterizedTest
	@CsvSource({ "1,0,1,5000,1,10000,3", "1,0,1,300,1,700,1", "2,0,1,500,1,5000,3", "3,0,0,0,0,0,3",
			"2,0,2,5000,0,0,4" })
	void crashesOfSeveralHostsAddUpUnlessTheyMayBeOneEvent(int first, long firstAt, int second, long secondAt,
			int third, long thirdAt, int expected) {
		this.reports.reported("h2", CONTENT, new CrashReports.Report(first, 1, millis(firstAt)));
		this.reports.reported("h3", CONTENT, new CrashReports.Report(second, 1, millis(secondAt)));
		this.reports.reported("h4", CONTENT, new CrashReports.Report(third, 1, millis(thirdAt)));
		assertThat(this.reports.crashes(CONTENT)).isEqualTo(expected);
	}

	@Test
	void aHostThatStartedAgainGoesOnFromWhatItWrote() {
		this.reports.reported("h1", CONTENT, new CrashReports.Report(2, 1, millis(0)));
		assertThat(this.reports.crashed(CONTENT, millis(10), millis(20), true)).isTrue();
		assertThat(this.reports.own().get(CONTENT).crashes()).isEqualTo(3);
	}

	@Test
	void anOlderReportDoesNotReplaceANewerOne() {
		this.reports.reported("h2", CONTENT, new CrashReports.Report(3, 1, millis(50)));
		this.reports.reported("h2", CONTENT, new CrashReports.Report(1, 1, millis(20)));
		assertThat(this.reports.blocked(CONTENT)).isTrue();
	}

	@Test
	void whatLongCausedNoCrashIsForgottenAndTheNumberOfContentsIsBounded() {
		for (int content = 0; content < 5000; content++) {
			this.reports.crashed(content, millis(0), millis(1), true);
		}
		assertThat(this.reports.own()).hasSizeLessThanOrEqualTo(512);
		this.reports.expire(CrashReports.KEPT_NANOS + millis(2));
		assertThat(this.reports.any()).isFalse();
	}

}
