package io.sequoialink.bench.slopes;

import java.util.List;

import io.sequoialink.bench.ExperimentResult.Point;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class LinearFitTests {

	@Test
	void exactLineHasNoError() {
		LinearFit fit = LinearFit.of(List.of(new Point(4, 11), new Point(8, 19), new Point(16, 35)));
		assertThat(fit.slope()).isCloseTo(2, within(1e-9));
		assertThat(fit.at(330)).isCloseTo(663, within(1e-9));
		assertThat(fit.slopeError()).isCloseTo(0, within(1e-9));
	}

	@Test
	void scatterShowsInTheError() {
		LinearFit fit = LinearFit.of(List.of(new Point(0, 0), new Point(1, 2), new Point(2, 1), new Point(3, 3)));
		assertThat(fit.slope()).isCloseTo(0.8, within(1e-9));
		assertThat(fit.slopeError()).isCloseTo(Math.sqrt(1.8 / 2 / 5), within(1e-9));
	}

	@Test
	void onePointIsALevelLine() {
		assertThat(LinearFit.of(List.of(new Point(8, 5))).at(330)).isEqualTo(5);
	}

}
