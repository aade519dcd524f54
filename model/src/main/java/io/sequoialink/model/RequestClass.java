package io.sequoialink.model;

import java.time.Duration;
import java.util.Objects;

/**
 * A class of requests that share a quality target. Immutable and thread-safe.
 *
 * @param id the class's identifier
 * @param labels labels for selectors
 * @param qualityTarget share of answers in (0, 1] that must be good enough
 * @param deadline time from arrival to the whole answer, when the caller states none
 */
public record RequestClass(ClassId id, Labels labels, double qualityTarget, Duration deadline) implements ConfigObject {

	public RequestClass {
		Objects.requireNonNull(id, "id");
		labels = Objects.requireNonNullElse(labels, Labels.none());
		Objects.requireNonNull(deadline, "deadline");
		if (!(qualityTarget > 0 && qualityTarget <= 1)) {
			throw new IllegalArgumentException(
					"quality target of class " + id + " is " + qualityTarget + ": use a share above 0 and up to 1");
		}
		if (deadline.isNegative() || deadline.isZero()) {
			throw new IllegalArgumentException("deadline of class " + id + " is not positive: " + deadline);
		}
	}

	@Override
	public ObjectKey key() {
		return new ObjectKey(ObjectKind.CLASS, this.id.value());
	}

}
