package io.sequoialink.model;

import java.util.Locale;

/**
 * Key of a configuration object: kind and name. Immutable and thread-safe.
 *
 * @param kind kind of the object
 * @param name name of the object, unique within its kind
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
