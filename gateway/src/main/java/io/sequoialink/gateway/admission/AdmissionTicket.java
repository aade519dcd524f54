package io.sequoialink.gateway.admission;

/**
 * One request as {@link AdmissionControl} sees it. Confined to the event loop.
 */
public final class AdmissionTicket {

	private final String id;

	private final String service;

	private final String account;

	private final int priority;

	private final long targetMillis;

	private boolean counted;

	private Runnable decideAgain;

	private boolean everHeld;

	private long heldSinceNanos;

	private String reason = "";

	/**
	 * Creates the ticket of a request that has arrived.
	 * @param id identifier of the request
	 * @param service service that runs it
	 * @param account client account
	 * @param priority priority, 0 for the most urgent requests
	 * @param targetMillis target latency of its route, in milliseconds; 0 if it has none
	 */
	public AdmissionTicket(String id, String service, String account, int priority, long targetMillis) {
		this.id = id;
		this.service = service;
		this.account = account;
		this.priority = priority;
		this.targetMillis = targetMillis;
	}

	String id() {
		return this.id;
	}

	String service() {
		return this.service;
	}

	String account() {
		return this.account;
	}

	int priority() {
		return this.priority;
	}

	long targetMillis() {
		return this.targetMillis;
	}

	// Returns whether this is the first call.
	boolean count() {
		boolean first = !this.counted;
		this.counted = true;
		return first;
	}

	void hold(Runnable retry, String cause, long nowNanos) {
		if (!this.everHeld) {
			this.everHeld = true;
			this.heldSinceNanos = nowNanos;
		}
		this.decideAgain = retry;
		this.reason = cause;
	}

	boolean held() {
		return this.decideAgain != null;
	}

	boolean everHeld() {
		return this.everHeld;
	}

	long heldNanos(long nowNanos) {
		return this.everHeld ? nowNanos - this.heldSinceNanos : 0;
	}

	String reason() {
		return this.reason;
	}

	// Ends the hold and returns what decides on the request again.
	Runnable release() {
		Runnable retry = this.decideAgain;
		this.decideAgain = null;
		return retry;
	}

	// Ends all holds of the request, so that a later one begins anew.
	void reset() {
		this.decideAgain = null;
		this.everHeld = false;
	}

}
