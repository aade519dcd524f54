package io.sequoialink.router;

/**
 * The injected time of a host. Implementations are thread-safe.
 */
public interface Clock {

	/** The clock of the process. */
	Clock SYSTEM = new Clock() {

		@Override
		public long wallMillis() {
			return System.currentTimeMillis();
		}

		@Override
		public long monotonicNanos() {
			return System.nanoTime();
		}

	};

	/**
	 * Returns the time of day.
	 * @return epoch milliseconds
	 */
	long wallMillis();

	/**
	 * Returns a time that never goes backwards.
	 * @return nanoseconds from an arbitrary origin
	 */
	long monotonicNanos();

	/**
	 * Returns the monotonic time in milliseconds.
	 * @return milliseconds from an arbitrary origin
	 */
	default long monotonicMillis() {
		return monotonicNanos() / 1_000_000;
	}

}
