package io.sequoialink.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a {@link RequestClass}. Immutable and thread-safe; the value is always a
 * valid identifier.
 *
 * @param value text of the identifier: 1 to 128 letters, digits, dots, dashes, colons or
 * underscores
 */
public record ClassId(@JsonValue String value) implements Comparable<ClassId> {

	@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
	public ClassId {
		Identifiers.check("request class", value);
	}

	@Override
	public int compareTo(ClassId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
