package io.sequoialink.gateway.feed;

/**
 * Schedules tasks on the event loop.
 */
@FunctionalInterface
public interface LoopTimer {

	/**
	 * Schedules a task.
	 * @param task the task
	 * @param delayMillis delay in milliseconds
	 */
	void later(Runnable task, long delayMillis);

}
