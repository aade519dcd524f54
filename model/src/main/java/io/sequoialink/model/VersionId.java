package io.sequoialink.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one version of a model. Immutable and thread-safe; the value is always a
 * valid identifier.
 *
 * @param value text of the identifier: 1 to 128 letters, digits, dots, dashes, colons or
 * underscores
 */
public record VersionId(@JsonValue String value) implements Comparable<VersionId> {

	@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
	public VersionId {
		Identifiers.check("model version", value);
	}

	@Override
	public int compareTo(VersionId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
