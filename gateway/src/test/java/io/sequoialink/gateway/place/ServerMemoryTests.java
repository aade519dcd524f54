package io.sequoialink.gateway.place;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class ServerMemoryTests {

	private static final long SECOND = 1_000_000_000L;

	private static final double MEAN = 1000;

	private final ServerMemory memory = new ServerMemory();

	private long now = 100 * SECOND;

	private double occupied() {
		return this.memory.occupiedTokens(MEAN, this.now);
	}

	@Test
	void withoutReportsOnlyOwnRequestsCount() {
		this.memory.started(3000);
		this.memory.started(500);
		assertThat(occupied()).isEqualTo(3500);
		this.memory.ended(3000, this.now);
		assertThat(occupied()).isEqualTo(500);
	}

	@Test
	void ownSendsAreAddedToTheNewestReportUntilTheNextOneIncludesThem() {
		this.memory.reported(7, this.now);
		this.memory.started(2500);
		assertThat(occupied()).isEqualTo(9500);
		this.now++;
		this.memory.reported(8, this.now);
		assertThat(occupied()).isEqualTo(8000);
	}

	// The end of a request that the report includes says nothing of those sent since.
	@Test
	void anEndOfARequestFromBeforeTheReportDoesNotFreeWhatWasSentSince() {
		long before = this.now;
		this.memory.started(2500);
		this.now += SECOND / 10;
		this.memory.reported(4, this.now);
		long after = this.now;
		this.memory.started(1500);
		this.memory.ended(2500, before);
		assertThat(occupied()).isEqualTo(5500);
		this.memory.ended(1500, after);
		assertThat(occupied()).isEqualTo(4000);
	}

	@Test
	void isNeverBelowOwnRequests() {
		this.memory.started(50_000);
		this.memory.reported(1, this.now);
		assertThat(occupied()).isEqualTo(50_000);
	}

	// An old report that happened to be 0 would otherwise make a busy server look empty.
	@Test
	void anOldReportGivesWayToTheMeanOfTheReports() {
		for (int i = 0; i < 30; i++) {
			this.memory.reported(20, this.now);
		}
		this.memory.reported(0, this.now);
		assertThat(occupied()).isZero();
		this.now += 10 * SECOND;
		assertThat(occupied()).isEqualTo(16_000);
	}

	@ParameterizedTest
	@CsvSource({ "1000, 8000, 0", "2000, 8000, 0", "2001, 8000, 0.5", "6000, 8000, 2000", "90000, 8000, 4000",
			"90000, 0, 0" })
	void theWaitIsTheTimeInWhichTheMissingTokensAreFreed(double need, double held, double millis) {
		assertThat(ServerMemory.millisUntilRoom(need, 10_000, held, 4000)).isEqualTo(millis);
	}

}
