package io.sequoialink.router;

import java.util.concurrent.CountDownLatch;

import io.sequoialink.model.Labels;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * An answer is not held back for a rating that can change nothing or does not come.
 */
class RatingWaitTests {

	private final CountDownLatch never = new CountDownLatch(1);

	private final RouterFixture fixture = new RouterFixture((rating) -> {
		Thread thread = new Thread(() -> {
			awaitNever();
			rating.run();
		});
		thread.setDaemon(true);
		thread.start();
	});

	private void awaitNever() {
		try {
			this.never.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Test
	@Timeout(3)
	void theDearestVersionAnswersAtOnceWhileTheRatingServiceHangs() throws RefusedException {
		this.fixture.objects.removeIf((object) -> object.key().name().equals("small"));
		this.fixture.objects.add(RouterFixture.version("small", 2000, Labels.none()));
		this.fixture.ratingPatienceMillis = 60_000;
		assertThat(this.fixture.chat.route(this.fixture.request(), AnswerSink.NONE).head().version().value())
			.isIn("small", "large");
	}

	@Test
	@Timeout(10)
	void aHangingRatingServiceHoldsAnAnswerNoLongerThanThePolicySays() throws RefusedException {
		this.fixture.ratingPatienceMillis = 100;
		long started = System.nanoTime();
		this.fixture.chat.route(this.fixture.request(), AnswerSink.NONE);
		assertThat((System.nanoTime() - started) / 1_000_000).isLessThan(3_000);
		assertThat(this.fixture.bills).hasSize(1);
	}

}
