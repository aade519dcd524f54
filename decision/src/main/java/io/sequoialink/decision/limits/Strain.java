package io.sequoialink.decision.limits;

/**
 * How hard pressed the engines of a service are, by how much of the time that answers may
 * take to begin they do take. Rises while beginnings come late and falls while they come
 * early, so that whoever asks for optional work asks for less of it until answers are
 * prompt again. Confined to one thread.
 */
public final class Strain {

	/** Share of the permitted time that beginnings should take on average. */
	private static final double AIM = 0.18;

	/** Weight of one observation in the mean. */
	private static final double WEIGHT = 0.06;

	/** How fast the strain follows, per second and unit of distance from the aim. */
	private static final double GAIN_PER_SECOND = 4;

	private static final double NANOS_PER_SECOND = 1e9;

	/** Longest step that is taken at once, so that a pause says nothing, in seconds. */
	private static final double MAX_STEP_SECONDS = 0.5;

	private static final double MAX = 6;

	private double mean;

	private double value;

	private long last;

	/**
	 * Takes an observation.
	 * @param share time until an answer began, as a share of the permitted time
	 * @param nowNanos monotonic time
	 */
	public void observe(double share, long nowNanos) {
		this.mean += WEIGHT * (Math.min(share, 2) - this.mean);
		double seconds = (this.last == 0) ? 0 : Math.min(MAX_STEP_SECONDS, (nowNanos - this.last) / NANOS_PER_SECOND);
		this.last = nowNanos;
		this.value = Math.max(0, Math.min(MAX, this.value + GAIN_PER_SECOND * seconds * (this.mean - AIM)));
	}

	/**
	 * Returns the strain.
	 * @return 0 if there is none, up to 6
	 */
	public double value() {
		return this.value;
	}

}
