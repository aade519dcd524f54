package io.sequoialink.router;

import java.util.concurrent.CountDownLatch;

import io.sequoialink.model.Labels;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that an answer is not delayed when its rating can't change the result, and only
 * for a limited time when the rating service does not respond.
 */
class RatingWaitTests {

	private final CountDownLatch never = new CountDownLatch(1);

	private final RouterFixture fixture = new RouterFixture((rating) -> {
		Thread thread = new Thread(() -> {
			blockForever();
			rating.run();
		});
		thread.setDaemon(true);
		thread.start();
	});

	private void blockForever() {
		try {
			this.never.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Test
	@Timeout(3)
	void mostExpensiveVersionAnswersWithoutWaitingForRating() throws RefusedException {
		this.fixture.objects.removeIf((object) -> object.key().name().equals("small"));
		this.fixture.objects.add(RouterFixture.version("small", 2000, Labels.none()));
		this.fixture.maxRatingWaitMillis = 60_000;
		assertThat(this.fixture.chat.route(this.fixture.request(), AnswerSink.NONE).metadata().version().value())
			.isIn("small", "large");
	}

	@Test
	@Timeout(10)
	void waitsForRatingAtMostAsLongAsPolicyAllows() throws RefusedException {
		this.fixture.maxRatingWaitMillis = 100;
		long startNanos = System.nanoTime();
		this.fixture.chat.route(this.fixture.request(), AnswerSink.NONE);
		assertThat((System.nanoTime() - startNanos) / 1_000_000).isLessThan(3_000);
		assertThat(this.fixture.bills).hasSize(1);
	}

}
