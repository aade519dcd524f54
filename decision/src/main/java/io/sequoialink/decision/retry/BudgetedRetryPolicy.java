package io.sequoialink.decision.retry;

import java.util.List;

import io.sequoialink.decision.Attempt;
import io.sequoialink.decision.RequestFacts;
import io.sequoialink.decision.RetryPolicy;
import io.sequoialink.model.Effect;

/**
 * Retries a request depending on the effect of its last attempt, its idempotence, its
 * deadline and a retry budget.
 * <p>
 * Invariants: a request that a server may have executed is retried only if it is
 * idempotent. This host starts at most {@code burst + budgetShare x successes} retries
 * and hedges. With the default settings, all hosts together therefore start at most a
 * tenth of the fleet's successes plus a constant, no matter which hosts a client uses.
 * Thread-safe: the budget is guarded by the policy's lock. Needs no clock; the jitter of
 * a delay is derived from the request identifier only.
 */
public final class BudgetedRetryPolicy implements RetryPolicy {

	private static final int MAX_BACKOFF_EXPONENT = 16;

	private final RetrySettings settings;

	private double budget;

	/**
	 * Creates the policy with a full budget.
	 * @param settings the settings
	 */
	public BudgetedRetryPolicy(RetrySettings settings) {
		this.settings = settings;
		this.budget = settings.burst();
	}

	@Override
	public synchronized void recordSuccess() {
		this.budget = Math.min(this.settings.burst(), this.budget + this.settings.budgetShare());
	}

	/**
	 * Takes one retry, or one hedge (an additional attempt while another is in progress),
	 * from the budget.
	 * @return whether at least one was left; if not, the budget is unchanged
	 */
	public synchronized boolean tryAcquire() {
		if (this.budget < 1) {
			return false;
		}
		this.budget -= 1;
		return true;
	}

	@Override
	public Decision decide(RequestFacts request, List<Attempt> attempts, boolean idempotent, double remainingMillis) {
		Attempt last = attempts.get(attempts.size() - 1);
		if (last.effect() != Effect.NONE && !idempotent) {
			return noRetry((last.effect() == Effect.UNKNOWN) ? "effect_unknown" : "already_run");
		}
		if (attempts.size() >= this.settings.maxAttempts()) {
			return noRetry("attempts_used");
		}
		long delay = delay(request, attempts.size());
		if (delay + this.settings.minAttemptMillis() > remainingMillis) {
			return noRetry("deadline");
		}
		return tryAcquire() ? new Decision(true, delay, "retry") : noRetry("budget");
	}

	private long delay(RequestFacts request, int failures) {
		long exponential = this.settings.baseDelayMillis() << Math.min(MAX_BACKOFF_EXPONENT, failures - 1);
		long longest = Math.min(this.settings.maxDelayMillis(), exponential);
		int hash = (request.id().value() + '/' + failures).hashCode() * 0x9E3779B1;
		double jitter = (hash >>> 1) / (double) Integer.MAX_VALUE;
		return Math.round(longest * (0.5 + 0.5 * jitter));
	}

	private static Decision noRetry(String reason) {
		return new Decision(false, 0, reason);
	}

}
