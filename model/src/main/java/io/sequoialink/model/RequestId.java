package io.sequoialink.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one request of a client; all attempts to serve the request share the
 * identifier. Immutable and thread-safe; the value is always a valid identifier.
 *
 * @param value text of the identifier: 1 to 128 letters, digits, dots, dashes, colons or
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
