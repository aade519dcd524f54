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
		assertThat(this.reports.crashed(CONTENT, millis(0), millis(10))).isTrue();
		assertThat(this.reports.crashed(CONTENT, millis(11), millis(20))).isTrue();
		assertThat(this.reports.blocked(CONTENT)).isFalse();
		assertThat(this.reports.crashed(CONTENT, millis(21), millis(30))).isTrue();
		assertThat(this.reports.blocked(CONTENT)).isTrue();
		assertThat(this.reports.blocked(CONTENT + 1)).isFalse();
	}

	@Test
	void contentThatManyClientsAskForIsNotBlamedForServersThatCrashTogether() {
		for (int i = 0; i < 20; i++) {
			this.reports.crashed(CONTENT, millis(i), millis(100));
		}
		for (int host = 2; host < 90; host++) {
			this.reports.reported("h" + host, CONTENT, 1, millis(100 + 7 * host));
		}
		assertThat(this.reports.crashes(CONTENT)).isEqualTo(1);
	}

	@Test
	void contentThatIsAnsweredBetweenCrashesIsNeverBlocked() {
		for (int i = 0; i < 10; i++) {
			this.reports.crashed(CONTENT, millis(1000 * i), millis(1000 * i + 10));
			this.reports.answered(CONTENT, millis(1000 * i + 500));
			this.reports.reported("h2", CONTENT, 5, millis(1000 * i + 20));
		}
		assertThat(this.reports.any()).isFalse();
	}

	@ParameterizedTest
	@CsvSource({ "1,0,1,5000,1,10000,3", "1,0,1,300,1,700,1", "2,0,1,500,1,5000,3", "3,0,0,0,0,0,3",
			"2,0,2,5000,0,0,4" })
	void crashesOfSeveralHostsAddUpUnlessTheyMayBeOneEvent(int first, long firstAt, int second, long secondAt,
			int third, long thirdAt, int expected) {
		this.reports.reported("h2", CONTENT, first, millis(firstAt));
		this.reports.reported("h3", CONTENT, second, millis(secondAt));
		this.reports.reported("h4", CONTENT, third, millis(thirdAt));
		assertThat(this.reports.crashes(CONTENT)).isEqualTo(expected);
	}

	@Test
	void aHostThatStartedAgainGoesOnFromWhatItWrote() {
		this.reports.reported("h1", CONTENT, 2, millis(0));
		assertThat(this.reports.crashed(CONTENT, millis(10), millis(20))).isTrue();
		assertThat(this.reports.own().get(CONTENT).crashes()).isEqualTo(3);
	}

	@Test
	void anOlderReportDoesNotReplaceANewerOne() {
		this.reports.reported("h2", CONTENT, 3, millis(50));
		this.reports.reported("h2", CONTENT, 1, millis(20));
		assertThat(this.reports.blocked(CONTENT)).isTrue();
	}

	@Test
	void whatLongCausedNoCrashIsForgottenAndTheNumberOfContentsIsBounded() {
		for (int content = 0; content < 5000; content++) {
			this.reports.crashed(content, millis(0), millis(1));
		}
		assertThat(this.reports.own()).hasSizeLessThanOrEqualTo(512);
		this.reports.expire(CrashReports.KEPT_NANOS + millis(2));
		assertThat(this.reports.any()).isFalse();
	}

}
