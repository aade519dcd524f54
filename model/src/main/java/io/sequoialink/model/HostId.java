package io.sequoialink.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies an entry host. Immutable and thread-safe; the value is always a valid
 * identifier.
 *
 * @param value text of the identifier: 1 to 128 letters, digits, dots, dashes, colons or
 * underscores
 */
public record HostId(@JsonValue String value) implements Comparable<HostId> {

	@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
	public HostId {
		Identifiers.check("host", value);
	}

	@Override
	public int compareTo(HostId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
