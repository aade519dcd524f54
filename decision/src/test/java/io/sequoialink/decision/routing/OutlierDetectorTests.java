package io.sequoialink.decision.routing;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import io.sequoialink.model.ServerId;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class OutlierDetectorTests {

	private static final OutlierParameters PARAMETERS = OutlierParameters.DEFAULT;

	@Property(tries = 200, seed = "4")
	void neverEjectsMoreThanTheMaximumShare(@ForAll @IntRange(min = 1, max = 40) int size, @ForAll long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		OutlierDetector table = new OutlierDetector(PARAMETERS);
		List<ServerId> servers = IntStream.range(0, size).mapToObj(ServerViewFixture::id).toList();
		for (int i = 0; i < 400; i++) {
			table.recordResult(servers.get(random.nextInt(size)), random.nextInt(10) > 0, i * 10L);
			assertThat(table.ejectedServers(servers, i * 10L))
				.hasSizeLessThanOrEqualTo((int) (PARAMETERS.maxShare() * size));
		}
	}

	@Test
	void ejectsAfterConsecutiveFailuresForADurationThatDoubles() {
		OutlierDetector table = new OutlierDetector(PARAMETERS);
		List<ServerId> servers = IntStream.range(0, 10).mapToObj(ServerViewFixture::id).toList();
		long now = failUntilEjected(table, 0);
		assertThat(table.ejectedServers(servers, now)).containsExactly(ServerViewFixture.id(0));
		assertThat(table.ejectedServers(servers, now + PARAMETERS.baseMillis())).isEmpty();
		now = failUntilEjected(table, now + PARAMETERS.baseMillis());
		assertThat(table.ejectedServers(servers, now + PARAMETERS.baseMillis()))
			.containsExactly(ServerViewFixture.id(0));
		assertThat(table.ejectedServers(servers, now + 2 * PARAMETERS.baseMillis())).isEmpty();
	}

	@Test
	void successResetsTheConsecutiveFailures() {
		OutlierDetector table = new OutlierDetector(PARAMETERS);
		for (int i = 0; i < 40; i++) {
			table.recordResult(ServerViewFixture.id(0), i % PARAMETERS.consecutiveFailures() != 0, i);
		}
		assertThat(table.ejectedServers(IntStream.range(0, 10).mapToObj(ServerViewFixture::id).toList(), 41)).isEmpty();
	}

	private static long failUntilEjected(OutlierDetector table, long now) {
		for (int i = 0; i < PARAMETERS.consecutiveFailures(); i++) {
			table.recordResult(ServerViewFixture.id(0), true, now);
		}
		return now;
	}

}
