package io.sequoialink.model;

import java.util.Locale;

/**
 * Names one configuration object. Immutable and thread-safe.
 *
 * @param kind the object's kind
 * @param name its name, unique within the kind
 */
public record ObjectKey(ObjectKind kind, String name) implements Comparable<ObjectKey> {

	public ObjectKey {
		Identifiers.check("object", name);
	}

	@Override
	public int compareTo(ObjectKey other) {
		int byKind = this.kind.compareTo(other.kind);
		return (byKind != 0) ? byKind : this.name.compareTo(other.name);
	}

	@Override
	public String toString() {
		return this.kind.name().toLowerCase(Locale.ROOT) + "/" + this.name;
	}

}
