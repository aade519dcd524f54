package io.sequoialink.gateway.feed;

/**
 * Runs work later on the event loop.
 */
@FunctionalInterface
public interface LoopTimer {

	/**
	 * Schedules work.
	 * @param work the work
	 * @param delayMillis when, in milliseconds from now
	 */
	void later(Runnable work, long delayMillis);

}
