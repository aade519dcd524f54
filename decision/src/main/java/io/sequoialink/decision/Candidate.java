package io.sequoialink.decision;

import java.util.Objects;

import io.sequoialink.model.ModelVersion;

/**
 * A model version that a request may run on, with its expected latency. Immutable and
 * thread-safe.
 *
 * @param version the model version
 * @param expectedFirstTokenMillis expected time to its first token, in milliseconds
 * @param expectedMillis expected time to the complete answer, in milliseconds
 */
public record Candidate(ModelVersion version, double expectedFirstTokenMillis, double expectedMillis) {

	public Candidate {
		Objects.requireNonNull(version, "version");
	}

}
