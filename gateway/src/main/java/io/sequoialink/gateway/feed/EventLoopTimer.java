package io.sequoialink.gateway.feed;

/**
 * Schedules tasks on the event loop.
 */
@FunctionalInterface
public interface EventLoopTimer {

	/**
	 * Schedules a task.
	 * @param task the task
	 * @param delayMillis delay in milliseconds
	 */
	void schedule(Runnable task, long delayMillis);

}
