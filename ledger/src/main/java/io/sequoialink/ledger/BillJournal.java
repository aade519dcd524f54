package io.sequoialink.ledger;

import java.time.Duration;

import io.sequoialink.model.Bill;

/**
 * Records bills in batches. A bill that {@link #record} has taken reaches the log at
 * least once, also when this host is lost afterwards; the consumer's fold drops
 * repetitions. Implementations are thread-safe.
 */
public interface BillJournal {

	/**
	 * Takes a bill. Returns when the bill would survive the loss of this host: a peer
	 * holds a copy or the log has it. Without peers and log it returns after the given
	 * time and keeps the bill in memory.
	 * @param bill the bill
	 * @param patience the longest time to wait for a second copy
	 * @return how safe the bill is
	 */
	Safety record(Bill bill, Duration patience);

	/**
	 * Returns whether new work may be admitted. It turns {@code false} while as many
	 * bills wait for the log as this host can hold; bills of work that is already under
	 * way are taken all the same.
	 * @return whether there is room for the bills of new work
	 */
	default boolean accepting() {
		return true;
	}

	/**
	 * Appends what is held, for a graceful shutdown.
	 * @param patience the longest time to wait for the log
	 * @return the number of bills that only this host still holds
	 */
	int flush(Duration patience);

	/** Where a bill is held. */
	enum Safety {

		/** The log has the bill. */
		LOGGED,

		/** At least one peer holds a copy. */
		COPIED,

		/** Only this host holds the bill. */
		LOCAL

	}

}
