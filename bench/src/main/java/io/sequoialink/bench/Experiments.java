package io.sequoialink.bench;

import java.util.List;
import java.util.Optional;

import io.sequoialink.bench.cascade.CascadeExperiment;
import io.sequoialink.bench.crash.CrashExperiment;
import io.sequoialink.bench.faults.FaultsExperiment;
import io.sequoialink.bench.fleet.ChargeExperiment;
import io.sequoialink.bench.fleet.ConfigExperiment;
import io.sequoialink.bench.fleet.OutageExperiment;
import io.sequoialink.bench.fleet.RestartExperiment;
import io.sequoialink.bench.latency.LatencyExperiment;
import io.sequoialink.bench.overload.OverloadExperiment;
import io.sequoialink.bench.rollout.RolloutExperiment;
import io.sequoialink.bench.slopes.SlopesExperiment;

/**
 * All experiments of this module. Stateless and thread-safe.
 */
public final class Experiments {

	private static final List<Experiment> ALL = List.of(new CascadeExperiment(), new RolloutExperiment(),
			new CrashExperiment(), new OverloadExperiment(), new ConfigExperiment(), new RestartExperiment(),
			new ChargeExperiment(), new OutageExperiment(), new FaultsExperiment(), new SlopesExperiment(),
			new LatencyExperiment());

	private Experiments() {
	}

	/**
	 * Returns all experiments.
	 * @return the experiments in the order in which they are listed
	 */
	public static List<Experiment> all() {
		return ALL;
	}

	/**
	 * Returns one experiment.
	 * @param name its name
	 * @return the experiment, or empty if there is none of that name
	 */
	public static Optional<Experiment> named(String name) {
		return ALL.stream().filter((experiment) -> experiment.name().equals(name)).findFirst();
	}

}
