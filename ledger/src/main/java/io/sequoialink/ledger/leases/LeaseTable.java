package io.sequoialink.ledger.leases;

import java.util.Optional;

import io.sequoialink.remote.LogUnavailableException;

/**
 * Exclusive duties of one host, such as orders to one engine. Implementations are
 * thread-safe; methods that append block.
 * <p>
 * An engine that checks fencing numbers refuses the orders of an older lease. Towards one
 * that ignores them the holder asks {@link #mayOrder} before each order, states the
 * wanted end state in the order, and reads the result back.
 */
public interface LeaseTable {

	/**
	 * Acquires a lease, or renews the one that this host holds. Does not wait for another
	 * holder's lease to run out.
	 * @param resource what to lease
	 * @return the lease, or empty while another host may still hold it
	 * @throws LogUnavailableException if the log did not answer in time; no lease is held
	 * by this attempt
	 */
	Optional<Lease> acquire(String resource) throws LogUnavailableException;

	/**
	 * Returns whether an order may be sent now. It must reach the engine within the
	 * longest time of an order.
	 * @param lease the lease
	 * @return whether the lease is fresh by the monotonic clock
	 */
	boolean mayOrder(Lease lease);

	/**
	 * Ends a lease before its time, so that a successor need not wait. The caller must
	 * have no order under way.
	 * @param lease the lease
	 */
	void release(Lease lease);

}
