package io.sequoialink.bench;

import java.util.List;

/**
 * One experiment with its baselines. Implementations are stateless; a run uses only the
 * randomness of its seed for everything that is counted.
 */
public interface Experiment {

	/**
	 * Returns the name on the command line.
	 * @return one word
	 */
	String name();

	/**
	 * Returns what the experiment asks.
	 * @return one sentence
	 */
	String question();

	/**
	 * Returns what it compares with.
	 * @return one sentence
	 */
	String baselines();

	/**
	 * Returns the bounds that the result is held against.
	 * @return the targets
	 */
	List<Target> targets();

	/**
	 * Runs the experiment.
	 * @param options the options
	 * @return the measured figures
	 * @throws ExperimentException if it could not be carried out
	 */
	ExperimentResult run(ExperimentOptions options) throws ExperimentException;

}
