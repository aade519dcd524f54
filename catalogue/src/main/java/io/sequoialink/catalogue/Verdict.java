package io.sequoialink.catalogue;

import java.util.Optional;

import io.sequoialink.model.CatalogueView;

/**
 * What the fold concluded on one change. Immutable and thread-safe; equal on every host.
 *
 * @param change the change
 * @param offset the record's offset
 * @param kind the conclusion
 * @param current the object as it stood before the record, empty if it did not exist
 * @param explanation one sentence for the operator
 */
public record Verdict(Change change, long offset, Kind kind, Optional<CatalogueView.Entry> current,
		String explanation) {

	/** The conclusions of the fold. */
	public enum Kind {

		/** The change is part of the view from its offset on. */
		ACCEPTED,

		/** Another change came first; nothing was changed. */
		CONFLICT,

		/** The change's id was folded before; nothing was changed again. */
		DUPLICATE,

		/** The change would make the configuration invalid; nothing was changed. */
		INVALID

	}

}
