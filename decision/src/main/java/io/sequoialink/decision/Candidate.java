package io.sequoialink.decision;

import java.util.Objects;

import io.sequoialink.model.ModelVersion;

/**
 * One version that a request may run on, with what is expected of it. Immutable and
 * thread-safe.
 *
 * @param version the version
 * @param expectedFirstTokenMillis expected time to its first token, in milliseconds
 * @param expectedMillis expected time to the whole answer, in milliseconds
 */
public record Candidate(ModelVersion version, double expectedFirstTokenMillis, double expectedMillis) {

	public Candidate {
		Objects.requireNonNull(version, "version");
	}

}
