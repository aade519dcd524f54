package io.sequoialink.daemon.host;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs a host's background duties, each at its interval and never twice at one time. A
 * duty that fails goes on at its next turn. Thread-safe.
 */
final class Duties implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(Duties.class);

	private static final int THREADS = 4;

	private static final long STOP_SECONDS = 2;

	private final ScheduledThreadPoolExecutor executor;

	private final Set<String> failing = ConcurrentHashMap.newKeySet();

	Duties(String host) {
		AtomicInteger number = new AtomicInteger();
		this.executor = new ScheduledThreadPoolExecutor(THREADS, (task) -> {
			Thread thread = new Thread(task, host + "-duty-" + number.incrementAndGet());
			thread.setDaemon(true);
			return thread;
		});
	}

	/**
	 * Repeats a duty.
	 * @param name the duty's name in the log
	 * @param interval time between the end of one turn and the begin of the next
	 * @param duty the duty
	 */
	void repeat(String name, Duration interval, Duty duty) {
		this.executor.scheduleWithFixedDelay(() -> runOnce(name, duty), 0, interval.toMillis(), TimeUnit.MILLISECONDS);
	}

	/**
	 * Lets a part of the host schedule its own duties here.
	 * @param starter takes the executor, which is shut down with the duties
	 */
	void run(Consumer<ScheduledExecutorService> starter) {
		starter.accept(this.executor);
	}

	private void runOnce(String name, Duty duty) {
		try {
			duty.run();
			if (this.failing.remove(name)) {
				LOG.info(HostEvents.DUTY_RECOVERED, name);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (Exception ex) {
			if (!this.executor.isShutdown() && this.failing.add(name)) {
				LOG.warn(HostEvents.DUTY_FAILED, name, ex);
			}
		}
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
		try {
			this.executor.awaitTermination(STOP_SECONDS, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * One turn of a duty.
	 */
	@FunctionalInterface
	interface Duty {

		/**
		 * Runs one turn.
		 * @throws Exception if the turn failed; it is logged and the duty goes on
		 */
		void run() throws Exception;

	}

}
