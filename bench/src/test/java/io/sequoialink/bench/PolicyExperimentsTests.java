package io.sequoialink.bench;

import java.util.stream.Stream;

import io.sequoialink.bench.crash.CrashExperiment;
import io.sequoialink.bench.overload.OverloadExperiment;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class PolicyExperimentsTests {

	static Stream<Experiment> quickOnes() {
		return Stream.of(new CrashExperiment(), new OverloadExperiment());
	}

	@ParameterizedTest
	@MethodSource("quickOnes")
	void targetsAreMetWithTheSameFiguresEachTime(Experiment experiment) throws ExperimentException {
		ExperimentOptions options = ExperimentOptions.of(1, "magnolia");
		ExperimentResult result = experiment.run(options);
		assertThat(experiment.targets()).allMatch((target) -> target.met(result.figures()));
		assertThat(experiment.run(options).figures()).isEqualTo(result.figures());
	}

}
