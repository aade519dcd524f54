package io.sequoialink.model;

import java.time.Duration;
import java.util.Objects;

/**
 * A class of requests with a common quality target and default deadline. Immutable and
 * thread-safe.
 *
 * @param id identifier of the class
 * @param labels labels of the class, matched by selectors
 * @param qualityTarget share of answers that must be rated good, in (0, 1]
 * @param deadline time from the arrival of a request to its complete answer, used if the
 * client sets no deadline
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
