package io.sequoialink.soak;

import java.util.List;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a check of cold servers that finds nothing.
 */
class ColdStartTests {

	private final PromiseChecker checker = new PromiseChecker(new DisturbanceTracker(System::nanoTime),
			System::nanoTime);

	@Test
	void aServerThatGetsTooManyRequestsWhileColdIsReported() {
		List<ColdStart> starts = LongStream.range(0, 40)
			.mapToObj((seed) -> new ColdStart("app", "i-1", seed, this.checker))
			.toList();
		ColdStart cold = starts.stream().filter((start) -> start.leftMillis() > 0).findFirst().orElseThrow();
		ColdStart warm = starts.stream().filter((start) -> start.leftMillis() == 0).findFirst().orElseThrow();
		for (int i = 0; i < Bounds.MAX_COLD_ARRIVALS; i++) {
			cold.arrived("r");
			warm.arrived("r");
			warm.arrived("r");
		}
		assertThat(this.checker.violations()).isEmpty();
		cold.arrived("r");
		assertThat(this.checker.violations()).extracting(Violation::rule).containsExactly("COLD");
	}

}
