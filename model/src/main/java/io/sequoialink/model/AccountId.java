package io.sequoialink.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a client account. Immutable and thread-safe; the value is always a valid
 * identifier.
 *
 * @param value text of the identifier: 1 to 128 letters, digits, dots, dashes, colons or
 * underscores
 */
public record AccountId(@JsonValue String value) implements Comparable<AccountId> {

	@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
	public AccountId {
		Identifiers.check("client account", value);
	}

	@Override
	public int compareTo(AccountId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
