package io.sequoialink.ledger.claims;

/**
 * The numbered log events of claims. Stateless and thread-safe.
 */
final class ClaimEvents {

	static final String RECORD_SKIPPED = "SL-2201 claim record at offset {} skipped: {}";

	static final String ABANDONED = "SL-2202 claim {} was not settled in time; its work is not run and will not be";

	static final String LAPSED = "SL-2203 claim at offset {} lapsed before its dispatch";

	static final String READER_TRIMMED = "SL-2204 retention overtook the reader of claims at offset {}; reading again from offset {}";

	static final String OUTCOME_DROPPED = "SL-2205 record of claim {} dropped: it has {} bytes and {} are waiting";

	private ClaimEvents() {
	}

}
