package io.sequoialink.catalogue;

import java.util.Objects;
import java.util.Optional;

import io.sequoialink.model.ConfigObject;
import io.sequoialink.model.Identifiers;
import io.sequoialink.model.ObjectKey;

/**
 * A change to one object, made against its revision. Immutable and thread-safe. Every
 * host that folds the change reaches the same verdict.
 *
 * @param id unique over all changes; a repeated id is a duplicate without effect
 * @param key the object to change
 * @param expectedRevision the object's revision that the author saw, -1 if it did not
 * exist
 * @param object the new object, or empty to delete it
 * @param author who made the change
 * @param reason one sentence for the history
 */
public record Change(String id, ObjectKey key, long expectedRevision, Optional<ConfigObject> object, String author,
		String reason) {

	public Change {
		Identifiers.check("change", id);
		Objects.requireNonNull(key, "key");
		Objects.requireNonNull(object, "object");
		Identifiers.check("author", author);
		reason = Objects.requireNonNullElse(reason, "");
		if (object.isPresent() && !object.get().key().equals(key)) {
			throw new IllegalArgumentException("change " + id + " is for " + key + " but holds " + object.get().key());
		}
	}

}
