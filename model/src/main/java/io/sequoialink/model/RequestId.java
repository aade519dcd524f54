package io.sequoialink.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one request of a caller, over all its attempts. Immutable and thread-safe;
 * the value is never blank.
 *
 * @param value the identifier's text: 1 to 128 letters, digits, dots, dashes, colons or
 * underscores
 */
public record RequestId(@JsonValue String value) implements Comparable<RequestId> {

	@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
	public RequestId {
		Identifiers.check("request", value);
	}

	@Override
	public int compareTo(RequestId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
