package io.sequoialink.bench;

import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The options of one run. Immutable and thread-safe.
 *
 * @param seed seed of all randomness
 * @param deployment {@code magnolia} or {@code bergvik}
 * @param hosts entry hosts to run
 * @param hostCounts numbers of hosts over which slopes are taken
 * @param quick whether to take the smallest size that still gives a verdict
 * @param live whether to repeat the run over loopback
 * @param outcomes another table of outcomes
 * @param output directory for the HTML page and its plots
 */
public record ExperimentOptions(long seed, String deployment, int hosts, List<Integer> hostCounts, boolean quick,
		boolean live, Optional<Path> outcomes, Optional<Path> output) {

	/** The number of entry hosts when none is asked for. */
	public static final int DEFAULT_HOSTS = 8;

	public ExperimentOptions {
		Objects.requireNonNull(deployment, "deployment");
		hostCounts = List.copyOf(hostCounts);
		Objects.requireNonNull(outcomes, "outcomes");
		Objects.requireNonNull(output, "output");
	}

	/**
	 * Returns the default options with a seed and a deployment.
	 * @param seed seed of all randomness
	 * @param deployment {@code magnolia} or {@code bergvik}
	 * @return the options
	 */
	public static ExperimentOptions of(long seed, String deployment) {
		return new ExperimentOptions(seed, deployment, DEFAULT_HOSTS, List.of(4, 8, 16, 32), false, false,
				Optional.empty(), Optional.empty());
	}

}
