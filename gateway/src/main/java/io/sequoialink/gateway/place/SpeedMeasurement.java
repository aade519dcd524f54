package io.sequoialink.gateway.place;

import java.util.OptionalDouble;

/**
 * Compares measured times with those of the same work at servers of the same version, and
 * passes the result to the {@link ServerSpeed} of the server. A version that is slower as
 * a whole makes none of its servers slow, because that is for the roll-out to judge.
 * Confined to the event loop.
 */
public final class SpeedMeasurement {

	private final LatencyBaseline baseline;

	/**
	 * Creates a comparison.
	 * @param baseline keeps the usual times; its keys for this purpose contain the
	 * version
	 */
	public SpeedMeasurement(LatencyBaseline baseline) {
		this.baseline = baseline;
	}

	/**
	 * Records the time of a response that did not wait in the server's queue.
	 * @param server the server
	 * @param group what is comparable within a version: a route, or a service and model
	 * @param amount amount of work, in units that are the same for the whole group; above
	 * 0
	 * @param millis the measured time in milliseconds
	 * @param nowNanos monotonic time in nanoseconds
	 */
	public void measured(ServerState server, String group, double amount, double millis, long nowNanos) {
		String key = group + " speed of " + server.entry().version();
		OptionalDouble usual = this.baseline.typicalMillis(key);
		usual.ifPresent((perAmount) -> server.speed().measured(millis, perAmount * amount, nowNanos));
		this.baseline.observe(key, millis / amount);
	}

}
