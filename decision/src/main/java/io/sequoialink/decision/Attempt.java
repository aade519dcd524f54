package io.sequoialink.decision;

import java.util.Objects;
import java.util.OptionalDouble;

import io.sequoialink.model.Effect;
import io.sequoialink.model.ServerId;
import io.sequoialink.model.VersionId;

/**
 * One attempt of a request that has ended. Immutable and thread-safe.
 *
 * @param version the version it ran on
 * @param server the backend server it ran on
 * @param effect what it did
 * @param rating the rating of its answer, if there is one
 * @param outcome one word for the explanation: whole, rejected, cut_off, ...
 * @param millis how long it took, in milliseconds
 */
public record Attempt(VersionId version, ServerId server, Effect effect, OptionalDouble rating, String outcome,
		long millis) {

	public Attempt {
		Objects.requireNonNull(version, "version");
		Objects.requireNonNull(server, "server");
		Objects.requireNonNull(effect, "effect");
		Objects.requireNonNull(rating, "rating");
		Objects.requireNonNull(outcome, "outcome");
	}

}
