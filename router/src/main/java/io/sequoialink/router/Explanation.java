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
 * What the router did for one request and why. Thread-safe: all access is synchronised on
 * this object, which is the last in the lock order.
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

	synchronized void resolved(String newAccount, String newClass, long newRevision, List<String> newAllowed) {
		this.account = newAccount;
		this.requestClass = newClass;
		this.revision = newRevision;
		this.allowed = List.copyOf(newAllowed);
	}

	synchronized void decided(TierDecision decision) {
		this.decisions.add(decision);
	}

	synchronized void attempted(Attempt attempt) {
		this.attempts.add(attempt);
	}

	synchronized void rated(int index, Attempt attempt) {
		this.attempts.set(index, attempt);
	}

	synchronized int attemptCount() {
		return this.attempts.size();
	}

	synchronized void step(String step) {
		this.steps.add(step);
	}

	synchronized void billed(Bill newBill) {
		this.bill = Optional.of(newBill);
	}

	synchronized void refused(Refusal newRefusal) {
		this.refusal = Optional.of(newRefusal);
	}

	synchronized void ended(long millis) {
		this.tookMillis = millis;
	}

	/**
	 * Returns a copy of what is known now.
	 * @return the copy
	 */
	public synchronized Snapshot snapshot() {
		return new Snapshot(this.request, this.startedAtMillis, this.account, this.requestClass, this.revision,
				this.allowed, List.copyOf(this.decisions), List.copyOf(this.attempts), List.copyOf(this.steps),
				this.bill, this.refusal, this.tookMillis);
	}

	/**
	 * An explanation at one moment. Immutable and thread-safe.
	 *
	 * @param request the request
	 * @param startedAtMillis arrival, epoch milliseconds
	 * @param account client account, empty if it is unknown
	 * @param requestClass class or service
	 * @param revision configuration revision
	 * @param allowed versions on which the request may run
	 * @param decisions what was weighed, in order
	 * @param attempts every attempt with its effect and rating
	 * @param steps what else was decided, in order
	 * @param bill the bill, if one was made
	 * @param refusal the refusal, if it was refused
	 * @param tookMillis time to the end, -1 while it is under way
	 */
	public record Snapshot(RequestId request, long startedAtMillis, String account, String requestClass, long revision,
			List<String> allowed, List<TierDecision> decisions, List<Attempt> attempts, List<String> steps,
			Optional<Bill> bill, Optional<Refusal> refusal, long tookMillis) {
	}

}
