package io.sequoialink.ledger.leases;

import java.util.Objects;

/**
 * A granted lease. Immutable and thread-safe.
 *
 * @param resource what is leased, for example the orders to one engine
 * @param fencingNumber offset of the lease's record, greater than that of every earlier
 * lease on the resource
 * @param deadlineNanos until when orders may be sent, by the holder's monotonic clock,
 * margin taken off
 */
public record Lease(String resource, long fencingNumber, long deadlineNanos) {

	public Lease {
		Objects.requireNonNull(resource, "resource");
	}

}
