package io.sequoialink.catalogue;

/**
 * The numbered log events of this module. Stateless and thread-safe.
 */
final class CatalogueEvents {

	static final String RECORD_SKIPPED = "SL-2101 configuration record at offset {} skipped: {}";

	static final String CHANGE_FOLDED = "SL-2102 change {} at offset {}: {} ({})";

	static final String READER_TRIMMED = "SL-2103 retention overtook the reader at offset {}; rebuilding from offset {}";

	static final String NO_CHECKPOINT = "SL-2104 no whole checkpoint from offset {} on; the view stays at offset {}";

	static final String JOINED = "SL-2105 state rebuilt from the checkpoint that covers offset {}, folded up to {}";

	static final String CHECKPOINT_SKIPPED = "SL-2106 checkpoint {} skipped: {}";

	static final String CHECKPOINT_WRITTEN = "SL-2107 checkpoint {} covers offset {}: {} bytes in {} chunks";

	static final String CHECKPOINT_NOT_WRITTEN = "SL-2108 checkpoint not written, next attempt later: {}";

	static final String LOG_UNREADABLE = "SL-2109 configuration stream can't be read: {}";

	static final String LOG_READABLE = "SL-2110 configuration stream is read again, view at offset {}";

	static final String APPEND_UNSETTLED = "SL-2111 answer to the append of change {} was lost; settling it by its id";

	private CatalogueEvents() {
	}

}
