package io.sequoialink.gateway.place;

/**
 * Estimate of the tokens that requests hold in the memory (the KV cache) of one inference
 * engine: the requests that it last reported as running, times the mean holding of this
 * host's requests, plus what this host has sent since. Without a report only this host's
 * own requests count. Confined to the event loop.
 */
public final class ServerMemory {

	/**
	 * Age from which the mean of the reports counts instead of the newest one, in
	 * nanoseconds; the weight of the newest one falls linearly until then.
	 */
	private static final long REPORT_MAX_AGE_NANOS = 1_500_000_000L;

	/** Weight of a report in the mean of the server's reports. */
	private static final double REPORT_SMOOTHING = 0.2;

	private double heldTokens;

	private double sentTokens;

	private int running;

	private double meanRunning;

	private long reportedAt;

	private boolean reported;

	/**
	 * Called when a request is sent to the server.
	 * @param tokens tokens that it is expected to hold
	 */
	public void started(double tokens) {
		this.heldTokens += tokens;
		this.sentTokens += tokens;
	}

	/**
	 * Called when an attempt has ended, so that it holds nothing any more.
	 * @param tokens tokens that were passed when it was sent
	 * @param startedNanos monotonic time at which it was sent, in nanoseconds
	 */
	public void ended(double tokens, long startedNanos) {
		this.heldTokens = Math.max(0, this.heldTokens - tokens);
		if (!this.reported || startedNanos - this.reportedAt >= 0) {
			this.sentTokens = Math.max(0, this.sentTokens - tokens);
		}
	}

	/**
	 * Records a load report, which includes the requests sent before.
	 * @param runningRequests requests in progress at the server, of all hosts
	 * @param nowNanos monotonic time in nanoseconds
	 */
	public void reported(int runningRequests, long nowNanos) {
		this.meanRunning += (this.reported ? REPORT_SMOOTHING : 1) * (runningRequests - this.meanRunning);
		this.running = runningRequests;
		this.reportedAt = nowNanos;
		this.reported = true;
		this.sentTokens = 0;
	}

	/**
	 * Estimates the tokens that requests of all hosts hold.
	 * @param meanTokens mean holding of a request of the service
	 * @param nowNanos monotonic time in nanoseconds
	 * @return tokens, at least those of this host's own requests
	 */
	public double occupiedTokens(double meanTokens, long nowNanos) {
		if (!this.reported) {
			return this.heldTokens;
		}
		double newestWeight = Math.max(0, 1 - (double) (nowNanos - this.reportedAt) / REPORT_MAX_AGE_NANOS);
		double requests = newestWeight * this.running + (1 - newestWeight) * this.meanRunning;
		return Math.max(this.heldTokens, requests * meanTokens + this.sentTokens);
	}

	/**
	 * Estimates the time until enough of the running requests have ended for a further
	 * one.
	 * @param needTokens tokens that the further one holds
	 * @param capacityTokens tokens that fit into the memory
	 * @param occupiedTokens tokens that are held now
	 * @param usualMillis usual time for which a request holds its tokens, in milliseconds
	 * @return milliseconds, 0 if there is room now; at most the usual time, in which all
	 * running requests end
	 */
	public static double millisUntilRoom(double needTokens, double capacityTokens, double occupiedTokens,
			double usualMillis) {
		double missing = needTokens + occupiedTokens - capacityTokens;
		return (missing <= 0 || occupiedTokens <= 0) ? 0 : Math.min(1, missing / occupiedTokens) * usualMillis;
	}

}
