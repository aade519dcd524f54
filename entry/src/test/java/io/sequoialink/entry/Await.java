package io.sequoialink.entry;

import java.util.function.BooleanSupplier;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Waits in tests. Stateless and thread-safe.
 */
final class Await {

	private static final long INTERVAL_MILLIS = 50;

	private Await() {
	}

	/**
	 * Waits until a condition holds, and fails if it does not in time.
	 * @param millis time allowed, in milliseconds
	 * @param condition the condition
	 */
	static void within(long millis, BooleanSupplier condition) {
		long deadline = System.nanoTime() + millis * 1_000_000L;
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime()).as("time allowed: %s ms", millis).isLessThan(deadline);
			sleep(INTERVAL_MILLIS);
		}
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

}
