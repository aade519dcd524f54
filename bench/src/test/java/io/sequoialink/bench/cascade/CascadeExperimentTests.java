package io.sequoialink.bench.cascade;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import io.sequoialink.bench.ExperimentException;
import io.sequoialink.bench.ExperimentOptions;
import io.sequoialink.bench.ExperimentResult;
import io.sequoialink.bench.report.HtmlReport;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class CascadeExperimentTests {

	@TempDir
	private Path directory;

	@ParameterizedTest
	@ValueSource(strings = { "magnolia", "bergvik" })
	void meetsEveryClassTargetBelowTheBestFixedCascade(String deployment) throws ExperimentException {
		CascadeExperiment experiment = new CascadeExperiment();
		ExperimentOptions options = new ExperimentOptions(3, deployment, 8, List.of(8), false, false, Optional.empty(),
				Optional.of(this.directory));
		ExperimentResult result = experiment.run(options);
		assertThat(result.figures().path("lost").asInt()).isZero();
		assertThat(result.figures().path("quality_met").asDouble())
			.isGreaterThanOrEqualTo(result.figures().path("quality_target").asDouble());
		assertThat(result.figures().path("cost_vs_fixed_cascade").asDouble()).isLessThan(1);
		assertThat(HtmlReport.write(experiment, options, result)).hasValueSatisfying((page) -> {
			assertThat(page).content().contains("quality_met", "<img");
			assertThat(Files.exists(this.directory.resolve("cascade-" + deployment + "-3-0.png"))).isTrue();
		});
	}

}
