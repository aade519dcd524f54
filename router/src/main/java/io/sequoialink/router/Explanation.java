package io.sequoialink.router;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.sequoialink.decision.Attempt;
import io.sequoialink.decision.TierDecision;
import io.sequoialink.model.Bill;
import io.sequoialink.model.Refusal;
import io.sequoialink.model.RequestId;

/**
 * The record of how one request was routed and why. Thread-safe: all access is
 * synchronized on this object; no other lock is acquired while this lock is held.
 */
public final class Explanation {

	private final RequestId request;

	private final long startedAtMillis;

	private String account = "";

	private String requestClass = "";

	private long revision = -1;

	private List<String> allowed = List.of();

	private final List<TierDecision> decisions = new ArrayList<>();

	private final List<Attempt> attempts = new ArrayList<>();

	private final List<String> steps = new ArrayList<>();

	private Optional<Bill> bill = Optional.empty();

	private Optional<Refusal> refusal = Optional.empty();

	private long tookMillis = -1;

	Explanation(RequestId request, long startedAtMillis) {
		this.request = request;
		this.startedAtMillis = startedAtMillis;
	}

	synchronized void recordResolution(String accountId, String className, long viewRevision,
			List<String> allowedVersions) {
		this.account = accountId;
		this.requestClass = className;
		this.revision = viewRevision;
		this.allowed = List.copyOf(allowedVersions);
	}

	synchronized void recordDecision(TierDecision decision) {
		this.decisions.add(decision);
	}

	synchronized void recordAttempt(Attempt attempt) {
		this.attempts.add(attempt);
	}

	/**
	 * Replaces a recorded attempt by the same attempt with its rating.
	 * @param index the position of the attempt, from 0
	 * @param attempt the attempt with its rating
	 */
	synchronized void replaceAttempt(int index, Attempt attempt) {
		this.attempts.set(index, attempt);
	}

	synchronized int attemptCount() {
		return this.attempts.size();
	}

	synchronized void recordStep(String step) {
		this.steps.add(step);
	}

	synchronized void recordBill(Bill recordedBill) {
		this.bill = Optional.of(recordedBill);
	}

	synchronized void recordRefusal(Refusal sentRefusal) {
		this.refusal = Optional.of(sentRefusal);
	}

	synchronized void recordEnd(long millis) {
		this.tookMillis = millis;
	}

	/**
	 * Returns an immutable copy of everything recorded until now.
	 * @return the copy
	 */
	public synchronized Snapshot snapshot() {
		return new Snapshot(this.request, this.startedAtMillis, this.account, this.requestClass, this.revision,
				this.allowed, List.copyOf(this.decisions), List.copyOf(this.attempts), List.copyOf(this.steps),
				this.bill, this.refusal, this.tookMillis);
	}

	/**
	 * The state of an explanation at one moment. Immutable and thread-safe.
	 *
	 * @param request the identifier of the request
	 * @param startedAtMillis arrival time, in milliseconds since the Unix epoch
	 * @param account identifier of the client account; {@code unknown} or empty if it was
	 * not found
	 * @param requestClass request class, or the service for calls to a plain service
	 * @param revision configuration revision on arrival, -1 until it has been read
	 * @param allowed versions on which the request may run; empty for plain services
	 * @param decisions choices of a version by the cascade, in order
	 * @param attempts all attempts in order, with effect and rating
	 * @param steps other decisions such as the use of a roll-out candidate, in order
	 * @param bill the bill, if one was recorded
	 * @param refusal the rejection, if the request was rejected
	 * @param tookMillis duration of the request, -1 while it is in progress
	 */
	public record Snapshot(RequestId request, long startedAtMillis, String account, String requestClass, long revision,
			List<String> allowed, List<TierDecision> decisions, List<Attempt> attempts, List<String> steps,
			Optional<Bill> bill, Optional<Refusal> refusal, long tookMillis) {
	}

}
