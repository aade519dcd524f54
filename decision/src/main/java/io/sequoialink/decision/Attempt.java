package io.sequoialink.decision;

import java.util.Objects;
import java.util.OptionalDouble;

import io.sequoialink.model.Effect;
import io.sequoialink.model.ServerId;
import io.sequoialink.model.VersionId;

/**
 * A completed attempt to run a request on a backend server. Immutable and thread-safe.
 *
 * @param version the model version that was used
 * @param server the backend server that was used
 * @param effect whether the server executed the request
 * @param rating the quality rating of the answer in [0, 1], if there is one
 * @param outcome one word for the explanation of the request's decisions: whole,
 * rejected, cut_off, ...
 * @param millis duration of the attempt, in milliseconds
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
