package io.sequoialink.bench.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sequoialink.bench.ExperimentOptions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class OutageExperimentTests {

	private final OutageExperiment experiment = new OutageExperiment();

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void strictRuleKeepsThePromiseAndServingOnBreaksIt(long seed) {
		ObjectNode figures = figures(seed);
		assertThat(this.experiment.targets()).allMatch((target) -> target.met(figures));
		assertThat(figures.path("serve_withdrawn_work").asLong()).isPositive();
		assertThat(figures(seed)).isEqualTo(figures);
	}

	private ObjectNode figures(long seed) {
		return this.experiment.run(ExperimentOptions.of(seed, "magnolia")).figures();
	}

}
