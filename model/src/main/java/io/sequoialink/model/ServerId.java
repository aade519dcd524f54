package io.sequoialink.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a backend server. Immutable and thread-safe; the value is always a valid
 * identifier.
 *
 * @param value text of the identifier: 1 to 128 letters, digits, dots, dashes, colons or
 * underscores
 */
public record ServerId(@JsonValue String value) implements Comparable<ServerId> {

	@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
	public ServerId {
		Identifiers.check("backend server", value);
	}

	@Override
	public int compareTo(ServerId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
