package io.sequoialink.decision.limits;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Account of a brittle server's slots, with times that the tests set.
 */
class SlotAccountTests {

	private static final SlotAccount.Server SERVER = new SlotAccount.Server(4, 6);

	private final SlotAccount account = new SlotAccount();

	private long now = TimeUnit.HOURS.toNanos(1);

	private long sequence;

	private void pass(long millis) {
		this.now += TimeUnit.MILLISECONDS.toNanos(millis);
	}

	private void report(String host, long lastDecided, int held, long turnedAway) {
		this.account.report(host, new SlotAccount.Report(++this.sequence, lastDecided, held, turnedAway), this.now);
	}

	private boolean give(String host, long number) {
		return this.account.give(host, number, SERVER, this.now);
	}

	private void learn(String... hosts) {
		for (String host : hosts) {
			report(host, 0, 0, 0);
		}
		pass(700);
		for (String host : hosts) {
			report(host, 0, 0, 0);
		}
	}

	@Test
	void noMoreSlotsAreGivenThanThereAre() {
		learn("a", "b");
		assertThat(give("a", 1) && give("b", 1) && give("a", 2) && give("b", 2)).isTrue();
		assertThat(give("a", 3)).isFalse();
		report("a", 2, 1, 0);
		assertThat(give("b", 3)).as("one of the first host's two has ended").isTrue();
	}

	@Test
	void aQuestionThatIsAskedAgainGetsTheSameSlot() {
		learn("a");
		assertThat(give("a", 1) && give("a", 1) && give("a", 1)).isTrue();
		assertThat(this.account.inUse(this.now)).isEqualTo(1);
	}

	@Test
	void halfOfTheSlotsAreGivenWhileTheAccountLearns() {
		report("a", 0, 0, 0);
		assertThat(give("a", 1) && give("a", 2)).isTrue();
		assertThat(give("a", 3)).isFalse();
	}

	@Test
	void aHostThatReportsNothingForAWhileCountsNoMore() {
		learn("a", "b");
		report("a", 0, 4, 0);
		assertThat(give("b", 1)).isFalse();
		pass(2001);
		report("b", 0, 0, 0);
		assertThat(give("b", 2)).isTrue();
	}

	@Test
	void anOlderReportIsIgnored() {
		learn("a", "b");
		SlotAccount.Report older = new SlotAccount.Report(++this.sequence, 0, 0, 0);
		report("a", 0, 4, 0);
		this.account.report("a", older, this.now);
		assertThat(give("b", 1)).isFalse();
	}

	@Test
	void rejectionsLowerWhatIsGivenAndHalfOfTheBearableOnesStopIt() {
		learn("a");
		report("a", 0, 2, 1);
		assertThat(give("a", 1)).as("two were too many").isFalse();
		pass(500);
		assertThat(give("a", 2)).as("one more is tried after a while").isTrue();
		report("a", 2, 0, 3);
		assertThat(give("a", 3)).as("three of six rejections in a second").isFalse();
		pass(1001);
		assertThat(give("a", 4)).isTrue();
	}

}
