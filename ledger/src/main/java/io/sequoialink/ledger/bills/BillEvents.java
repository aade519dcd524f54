package io.sequoialink.ledger.bills;

/**
 * The numbered log events of bills. Stateless and thread-safe.
 */
final class BillEvents {

	static final String LOG_DOWN = "SL-2251 the log does not take bills; {} own bills and {} copies are held: {}";

	static final String LOG_BACK = "SL-2252 the log takes bills again";

	static final String APPEND_UNKNOWN = "SL-2253 the answer to an append of {} bills was lost; they are appended again";

	static final String BOUND_REACHED = "SL-2254 {} bills wait for the log; no new work is accepted";

	static final String ORPHANS_APPENDED = "SL-2255 appended {} bills, some of them for hosts that were given up";

	static final String MALFORMED = "SL-2256 bill message from {} is malformed";

	private BillEvents() {
	}

}
