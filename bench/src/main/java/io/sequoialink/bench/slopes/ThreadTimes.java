package io.sequoialink.bench.slopes;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.function.Predicate;

/**
 * Processor time of threads by their names, and retained memory. Stateless and
 * thread-safe.
 */
final class ThreadTimes {

	private static final int COLLECTIONS = 3;

	private ThreadTimes() {
	}

	/**
	 * Returns the processor time of live threads.
	 * @param wanted selects the names of the threads
	 * @return nanoseconds since their starts
	 */
	static long nanos(Predicate<String> wanted) {
		ThreadMXBean threads = ManagementFactory.getThreadMXBean();
		long total = 0;
		for (long id : threads.getAllThreadIds()) {
			ThreadInfo info = threads.getThreadInfo(id);
			if (info != null && wanted.test(info.getThreadName())) {
				total += Math.max(0, threads.getThreadCpuTime(id));
			}
		}
		return total;
	}

	/**
	 * Returns the processor time of the calling thread.
	 * @return nanoseconds since its start
	 */
	static long ownNanos() {
		return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
	}

	/**
	 * Returns the heap in use after garbage collection.
	 * @return bytes
	 */
	static long retainedBytes() {
		for (int i = 0; i < COLLECTIONS; i++) {
			System.gc();
		}
		return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
	}

}
