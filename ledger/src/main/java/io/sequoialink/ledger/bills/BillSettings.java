package io.sequoialink.ledger.bills;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds and intervals of the bill journal. Immutable and thread-safe.
 *
 * @param appendsPerSecond appends of bills a second that the whole fleet may make
 * @param minAppendInterval shortest time between two appends of one host
 * @param copyTimeout time without a receipt after which a copy is sent again
 * @param maxHeld own bills that a host holds before it stops accepting new work; also the
 * number of copies that it holds for others
 * @param maxBatchBytes most bytes of one append
 */
public record BillSettings(double appendsPerSecond, Duration minAppendInterval, Duration copyTimeout, int maxHeld,
		int maxBatchBytes) {

	/**
	 * 100 appends a second for the fleet; an hour without the log at 13 requests a second
	 * and host.
	 */
	public static final BillSettings DEFAULT = new BillSettings(100, Duration.ofMillis(100), Duration.ofMillis(500),
			50_000, 128 * 1024);

	public BillSettings {
		Objects.requireNonNull(minAppendInterval, "minAppendInterval");
		Objects.requireNonNull(copyTimeout, "copyTimeout");
		if (!(appendsPerSecond > 0) || maxHeld <= 0 || maxBatchBytes <= 0) {
			throw new IllegalArgumentException("bill settings with " + appendsPerSecond + " appends a second, "
					+ maxHeld + " held bills and batches of " + maxBatchBytes + " bytes: use positive numbers");
		}
	}

	/**
	 * Returns the time between two appends of one host that keeps the fleet's budget.
	 * @param fleetSize the number of hosts
	 * @return milliseconds
	 */
	long appendIntervalMillis(int fleetSize) {
		return Math.max(this.minAppendInterval.toMillis(), (long) Math.ceil(fleetSize * 1000 / this.appendsPerSecond));
	}

}
