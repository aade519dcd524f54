package io.sequoialink.ledger.leases;

/**
 * The numbered log events of leases. Stateless and thread-safe.
 */
final class LeaseEvents {

	static final String RECORD_SKIPPED = "SL-2221 lease record at offset {} skipped: {}";

	static final String ACQUIRED = "SL-2222 lease on {} acquired with fencing number {}";

	static final String LOST = "SL-2223 lease on {} with fencing number {} was not renewed in time or was lost";

	static final String READER_TRIMMED = "SL-2224 retention overtook the reader of leases at offset {}; reading from offset {}";

	private LeaseEvents() {
	}

}
