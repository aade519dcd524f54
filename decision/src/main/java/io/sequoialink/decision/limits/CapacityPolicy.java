package io.sequoialink.decision.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Decides what to do with a request whose service may be short of capacity: send it, hold
 * it for a moment, or reject it as not run. Stateless and thread-safe; what it is given
 * is confined to the caller's thread.
 *
 * <p>
 * Capacity goes to the most urgent requests first and among equally urgent ones to the
 * accounts by max-min fairness. What an account asks for beyond its fair share of all
 * capacity and {@link #MAX_ACCOUNT_SHARE} times the mean of all accounts comes after
 * everything else, however urgent, and is sent only as far as the mean capacity of the
 * last half minute leaves some. Requests are chosen by a random number, so that hosts
 * with equal knowledge do not act alike. Invariants: nothing is held or rejected while
 * most servers report free slots and empty queues, or while nothing is known of them; the
 * fair shares alone reject no more than 1 - {@link #MIN_FRACTION} of the requests of each
 * account and priority.
 */
public final class CapacityPolicy {

	/**
	 * Longest hold, as a fraction (1/n) of the request's target latency.
	 */
	static final int HOLD_DIVISOR = 8;

	/**
	 * Multiple of the mean rate of the accounts up to which an account's requests count
	 * by their urgency. More than 1, because an account sends one host a request every
	 * few seconds, so its rate there varies by chance.
	 */
	static final double MAX_ACCOUNT_SHARE = 1.3;

	/** Smallest part of the requests of an account and priority that is sent. */
	static final double MIN_FRACTION = 0.02;

	/** Share from which on there is no shortage. */
	private static final double FULL_SHARE = 0.99;

	private static final long DEFAULT_HOLD_MILLIS = 50;

	private CapacityPolicy() {
	}

	/**
	 * Decides on a request that has arrived or that is held.
	 * @param room estimate of the service's capacity
	 * @param demand rates of the accounts, this request included
	 * @param request the request
	 * @param nowNanos current monotonic time in nanoseconds
	 * @return the decision
	 */
	public static CapacityDecision decide(ServiceCapacity room, AccountDemand demand, CapacityRequest request,
			long nowNanos) {
		if (room.mostlyFree(request.servers(), nowNanos)) {
			return CapacityDecision.send();
		}
		double share = room.share(nowNanos);
		double lendingShare = room.lendingShare(nowNanos);
		if (lendingShare < FULL_SHARE) {
			double fraction = fraction(share, lendingShare, demand, request, nowNanos);
			if (demand.draw(request.account(), request.priority()) >= fraction) {
				return CapacityDecision
					.reject(String.format("room for %.2f of all and %.2f of its kind", share, fraction));
			}
			double queueMillis = room.shortestQueueMillis(request.servers(), request.targetMillis(), nowNanos);
			if (queueMillis > request.remainingMillis()) {
				return CapacityDecision
					.reject(String.format("queues of %.0f ms or more, longer than is left", queueMillis));
			}
		}
		if (!room.allFull(request.servers(), nowNanos)) {
			return CapacityDecision.send();
		}
		long left = Math.min(request.remainingMillis(), maxHoldMillis(request) - request.heldMillis());
		long untilRoom = Math.max(1, TimeUnit.NANOSECONDS.toMillis(room.fullNanos(request.servers(), nowNanos)));
		return (left > 0) ? CapacityDecision.hold(Math.min(left, untilRoom), "all servers rejected requests just now")
				: CapacityDecision
					.reject("all servers rejected requests just now, held " + request.heldMillis() + " ms");
	}

	private static long maxHoldMillis(CapacityRequest request) {
		return (request.targetMillis() > 0) ? request.targetMillis() / HOLD_DIVISOR : DEFAULT_HOLD_MILLIS;
	}

	// Returns the part of the requests of the request's account and priority to send.
	private static double fraction(double share, double lendingShare, AccountDemand demand, CapacityRequest request,
			long nowNanos) {
		Map<Integer, Map<String, Double>> offered = demand.perSecond(nowNanos);
		Map<String, Double> totals = new HashMap<>();
		offered.values().forEach((rates) -> rates.forEach((account, rate) -> totals.merge(account, rate, Double::sum)));
		double total = totals.values().stream().mapToDouble(Double::doubleValue).sum();
		double room = share * total;
		double most = Math.max(MAX_ACCOUNT_SHARE * total / totals.size(),
				MaxMinFairness.level(totals.values(), lendingShare * total));
		Map<String, Double> used = new HashMap<>();
		double remaining = room;
		double lendable = lendingShare * total;
		double sent = 0;
		double excess = 0;
		for (Map.Entry<Integer, Map<String, Double>> kind : offered.entrySet()) {
			Map<String, Double> within = new HashMap<>();
			kind.getValue().forEach((account, rate) -> {
				double before = used.merge(account, rate, Double::sum) - rate;
				within.put(account, Math.max(0, Math.min(rate, most - before)));
			});
			double level = MaxMinFairness.level(within.values(), Math.max(0, remaining));
			double rate = within.values().stream().mapToDouble(Double::doubleValue).sum();
			if (kind.getKey() == request.priority()) {
				sent = Math.min(level, within.getOrDefault(request.account(), 0.0));
				excess = kind.getValue().getOrDefault(request.account(), 0.0)
						- within.getOrDefault(request.account(), 0.0);
			}
			remaining -= rate;
			lendable -= rate;
		}
		double ownRate = offered.getOrDefault(request.priority(), Map.of()).getOrDefault(request.account(), 0.0);
		double excessRate = totals.values().stream().mapToDouble((rate) -> Math.max(0, rate - most)).sum();
		double lent = (excessRate > 0) ? Math.min(1, Math.max(0, lendable) / excessRate) * excess : 0;
		return (ownRate > 0) ? Math.max(MIN_FRACTION, (sent + lent) / ownRate) : 1;
	}

}
