package io.sequoialink.bench.latency;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Sends requests when they are due, whether earlier ones have been answered or not, and
 * counts each wait from the time at which its request was due. Confined to one thread;
 * requests run on threads of their own.
 */
final class OpenLoop {

	private static final Duration PATIENCE = Duration.ofSeconds(60);

	private final ConcurrentHistogram micros = new ConcurrentHistogram(3);

	private final AtomicInteger unanswered = new AtomicInteger();

	/**
	 * Runs all requests and waits for the last answer.
	 * @param dueNanos when each request is due, from the start, in order
	 * @param warmUp requests that are not counted
	 * @param call sends one request
	 * @throws InterruptedException if the run is interrupted
	 */
	void run(List<Long> dueNanos, int warmUp, Call call) throws InterruptedException {
		ExecutorService callers = Executors.newCachedThreadPool();
		long start = System.nanoTime();
		for (int i = 0; i < dueNanos.size(); i++) {
			int number = i;
			long due = start + dueNanos.get(i);
			long left = due - System.nanoTime();
			if (left > 0) {
				TimeUnit.NANOSECONDS.sleep(left);
			}
			callers.execute(() -> send(number, due, number >= warmUp, call));
		}
		callers.shutdown();
		if (!callers.awaitTermination(PATIENCE.toSeconds(), TimeUnit.SECONDS)) {
			callers.shutdownNow();
		}
	}

	private void send(int number, long due, boolean counted, Call call) {
		long begun = System.nanoTime();
		double millis = call.send(number);
		if (millis < 0) {
			this.unanswered.incrementAndGet();
		}
		else if (counted) {
			long nanos = begun - due + (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
			this.micros.recordValue(TimeUnit.NANOSECONDS.toMicros(Math.max(0, nanos)));
		}
	}

	Histogram micros() {
		return this.micros;
	}

	double millisAt(double percentile) {
		return this.micros.getValueAtPercentile(percentile) / 1000.0;
	}

	int unanswered() {
		return this.unanswered.get();
	}

	/** Sends one request. */
	@FunctionalInterface
	interface Call {

		/**
		 * Sends a request and waits for its answer.
		 * @param number number of the request
		 * @return milliseconds to the first token, or a negative number without an answer
		 */
		double send(int number);

	}

}
