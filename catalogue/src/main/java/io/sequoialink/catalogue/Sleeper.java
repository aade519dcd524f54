package io.sequoialink.catalogue;

/**
 * Waits for some time. Implementations are thread-safe.
 */
@FunctionalInterface
public interface Sleeper {

	/**
	 * Waits.
	 * @param nanos the time in nanoseconds
	 * @throws InterruptedException if the thread was interrupted
	 */
	void sleep(long nanos) throws InterruptedException;

}
