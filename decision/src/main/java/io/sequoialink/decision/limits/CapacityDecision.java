package io.sequoialink.decision.limits;

/**
 * Decision on one request whose service may be short of capacity. Immutable.
 *
 * @param kind what to do with the request
 * @param waitMillis longest time for which to hold the request, in milliseconds; 0 unless
 * the request is to be held
 * @param reason text for the log
 */
public record CapacityDecision(Kind kind, long waitMillis, String reason) {

	/** What becomes of a request. */
	public enum Kind {

		/** The request is sent now. */
		SEND,

		/** The request is held and decided on again. */
		HOLD,

		/** The request is rejected as not run. */
		REJECT

	}

	/**
	 * Returns the decision to send a request.
	 * @return the decision
	 */
	public static CapacityDecision send() {
		return new CapacityDecision(Kind.SEND, 0, "");
	}

	static CapacityDecision hold(long millis, String reason) {
		return new CapacityDecision(Kind.HOLD, millis, reason);
	}

	/**
	 * Returns the decision to reject a request.
	 * @param reason inputs of the decision for the log
	 * @return the decision
	 */
	public static CapacityDecision reject(String reason) {
		return new CapacityDecision(Kind.REJECT, 0, reason);
	}

}
