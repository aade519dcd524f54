package io.sequoialink.bench.slopes;

import java.util.Objects;

/**
 * What one duty costs one host in one run. Immutable and thread-safe.
 *
 * @param name the duty, with its rate
 * @param hosts hosts of the run
 * @param bytes bytes a second that a host sends
 * @param messages messages a second that a host sends
 * @param coreShare share of a core, 1 is a whole one
 * @param weight how often the measured rate goes into the rate at the expected size
 */
record Duty(String name, int hosts, double bytes, double messages, double coreShare, double weight) {

	Duty {
		Objects.requireNonNull(name, "name");
	}

}
