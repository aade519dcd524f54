package io.sequoialink.router;

/**
 * The time source of a host, which tests can replace. Implementations are thread-safe.
 */
public interface Clock {

	/** Reads the clocks of the operating system. */
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
	 * Returns the wall-clock time, which may jump when the system clock is set.
	 * @return milliseconds since the Unix epoch
	 */
	long wallMillis();

	/**
	 * Returns a time that never decreases, for measuring durations.
	 * @return nanoseconds from an arbitrary origin
	 */
	long monotonicNanos();

	/**
	 * Returns {@link #monotonicNanos} in milliseconds, rounded down.
	 * @return milliseconds from an arbitrary origin
	 */
	default long monotonicMillis() {
		return monotonicNanos() / 1_000_000;
	}

}
