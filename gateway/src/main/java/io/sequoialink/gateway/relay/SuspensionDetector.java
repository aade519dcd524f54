package io.sequoialink.gateway.relay;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Detects that this host was suspended. Meanwhile the monotonic clock may have stood
 * still, so that information from before looks younger than it is. A forward step of the
 * time of day looks like a suspension. Confined to the event loop.
 */
public final class SuspensionDetector {

	/**
	 * If the time of day advanced between two checks by more than this beyond the
	 * monotonic clock, the host is taken to have been suspended; in milliseconds.
	 */
	private static final long MAX_DIFFERENCE_MILLIS = 1000;

	private final LongSupplier clock;

	private final LongSupplier timeOfDay;

	private long lastNanos;

	private long lastTimeOfDay;

	/**
	 * Creates a detector; its first check covers the time from now on.
	 * @param clock monotonic time in nanoseconds
	 * @param timeOfDay time of day as Unix time in milliseconds
	 */
	public SuspensionDetector(LongSupplier clock, LongSupplier timeOfDay) {
		this.clock = clock;
		this.timeOfDay = timeOfDay;
		this.lastNanos = clock.getAsLong();
		this.lastTimeOfDay = timeOfDay.getAsLong();
	}

	/**
	 * Returns for how long this host was suspended since the previous check.
	 * @return time in nanoseconds, 0 if it was not
	 */
	public long check() {
		long now = this.clock.getAsLong();
		long nowTimeOfDay = this.timeOfDay.getAsLong();
		long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(now - this.lastNanos);
		long difference = nowTimeOfDay - this.lastTimeOfDay - elapsedMillis;
		this.lastNanos = now;
		this.lastTimeOfDay = nowTimeOfDay;
		return (difference > MAX_DIFFERENCE_MILLIS) ? TimeUnit.MILLISECONDS.toNanos(difference) : 0;
	}

}
