package io.sequoialink.decision.limits;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

import io.sequoialink.decision.AdmissionPolicy;
import io.sequoialink.decision.RequestFacts;
import io.sequoialink.model.AccountLimits;
import io.sequoialink.model.ClientAccount;
import io.sequoialink.model.HostId;
import io.sequoialink.model.Refusal;
import io.sequoialink.model.RefusalCode;

/**
 * Admits a request if its deadline can be met, the limits of its client account are not
 * reached, and the load permits it; checked in this order.
 * <p>
 * Inputs: all times are in milliseconds of the same injected clock; token counts include
 * prompt and answer. Invariants: each host enforces its share of the fleet-wide limits
 * (see {@link DemandShares}). The rates of requests and tokens allow bursts of one second
 * or one request. Under load, the accounts share the concurrency by max-min fairness, and
 * requests of lower priority are rejected before those of higher priority. Thread-safe:
 * one lock guards all state; the suppliers are called under it and must not block. The
 * time of a decision is proportional to the number of hosts and of active accounts.
 */
public final class FleetAdmissionPolicy implements AdmissionPolicy {

	private static final String POOL_KEY = "*";

	/** Share of the concurrency limit below which fairness is not enforced. */
	private static final double UNRESTRICTED_SHARE = 0.5;

	/**
	 * Share of the shortest recent latency that must be left until the deadline for a
	 * request to be admitted.
	 */
	private static final double MIN_LATENCY_FACTOR = 0.5;

	/** Share of an even split up to which an account counts as small. */
	private static final double SMALL_ACCOUNT_SHARE = 0.5;

	/** Multiple of the concurrency limit up to which small accounts are admitted. */
	private static final double SMALL_ACCOUNT_OVERCOMMIT = 1.1;

	private static final Duration OVERLOAD_RETRY_AFTER = Duration.ofSeconds(1);

	private static final double MILLIS_PER_SECOND = 1000;

	/** Time without requests after which the state of an account is removed. */
	private static final long ACCOUNT_IDLE_MILLIS = 60_000;

	private final LimitSettings settings;

	private final DoubleSupplier poolCapacity;

	private final DemandShares shares;

	private final AdaptiveConcurrencyLimit adaptiveLimit;

	private final Map<String, Usage> accounts = new HashMap<>();

	private int inFlight;

	private double meanLatencyMillis = Double.NaN;

	private double minLatencyMillis = Double.NaN;

	/**
	 * Creates the policy of one host.
	 * @param self this host
	 * @param members supplies the live hosts including this one; must not block
	 * @param poolCapacity supplies the number of requests that all backend servers
	 * together can run at the same time, infinite if unknown; must not block
	 * @param settings the settings
	 */
	public FleetAdmissionPolicy(HostId self, Supplier<List<HostId>> members, DoubleSupplier poolCapacity,
			LimitSettings settings) {
		this.settings = settings;
		this.poolCapacity = poolCapacity;
		this.shares = new DemandShares(self, members, settings);
		this.adaptiveLimit = new AdaptiveConcurrencyLimit(settings);
	}

	@Override
	public synchronized Optional<Refusal> admit(ClientAccount account, RequestFacts request, long nowMillis) {
		String key = account.id().value();
		this.shares.recordOffered(key, nowMillis);
		this.shares.recordOffered(POOL_KEY, nowMillis);
		Usage usage = this.accounts.computeIfAbsent(key, (absent) -> new Usage(nowMillis));
		usage.recordOffered(nowMillis);
		Optional<Refusal> refusal = checkDeadline(request, nowMillis)
			.or(() -> checkAccountLimits(account.limits(), usage, key, request, nowMillis))
			.or(() -> checkLoad(usage, request, nowMillis));
		if (refusal.isEmpty()) {
			usage.inFlight++;
			usage.requests.remove(1);
			usage.tokens.remove(estimatedTokens(request));
			usage.reservedTokens += estimatedTokens(request);
			this.inFlight++;
		}
		return refusal;
	}

	private Optional<Refusal> checkDeadline(RequestFacts request, long nowMillis) {
		double remaining = request.deadlineMillis() - nowMillis;
		boolean impossible = remaining <= 0 || remaining < MIN_LATENCY_FACTOR * this.minLatencyMillis;
		return impossible
				? Optional.of(Refusal.notRun(RefusalCode.DEADLINE_IMPOSSIBLE, "The deadline is in "
						+ Math.round(remaining) + " ms, far less than the shortest recent answer took."))
				: Optional.empty();
	}

	private Optional<Refusal> checkAccountLimits(AccountLimits limits, Usage usage, String key, RequestFacts request,
			long nowMillis) {
		double share = this.shares.share(key, nowMillis);
		double requestRate = limits.requestsPerSecond() * share;
		double tokenRate = limits.tokensPerSecond() * share;
		usage.requests.refill(requestRate, Math.max(1, requestRate), nowMillis);
		usage.tokens.refill(tokenRate, Math.max(estimatedTokens(request), tokenRate), nowMillis);
		if (usage.inFlight >= Math.max(1, Math.round(limits.concurrency() * share))) {
			return Optional.of(limitReached("requests in flight", (long) MILLIS_PER_SECOND));
		}
		if (!usage.requests.contains(1)) {
			return Optional.of(limitReached("requests a second", usage.requests.millisUntil(1, requestRate)));
		}
		double needed = Math.min(estimatedTokens(request), tokenRate);
		if (!usage.tokens.contains(needed)) {
			return Optional.of(limitReached("tokens a second", usage.tokens.millisUntil(needed, tokenRate)));
		}
		return Optional.empty();
	}

	private static Refusal limitReached(String limit, long waitMillis) {
		return Refusal.notRun(RefusalCode.LIMIT_REACHED, "The account's limit of " + limit + " is used up.")
			.retryAfter(Duration.ofMillis(waitMillis));
	}

	private Optional<Refusal> checkLoad(Usage usage, RequestFacts request, long nowMillis) {
		double limit = concurrencyLimit(nowMillis);
		double forPriority = limit * (1 - this.settings.priorityStep() * request.priority());
		if (this.inFlight < UNRESTRICTED_SHARE * forPriority) {
			return Optional.empty();
		}
		double level = fairLevel(forPriority, nowMillis);
		boolean small = usage.inFlight + 1 <= SMALL_ACCOUNT_SHARE * forPriority / this.accounts.size();
		boolean full = this.inFlight + 1 > Math.max(1,
				small ? Math.ceil(SMALL_ACCOUNT_OVERCOMMIT * forPriority) : forPriority);
		if (full || usage.inFlight + 1 > Math.max(1, level)) {
			return Optional.of(Refusal.notRun(RefusalCode.OVERLOADED, "The backend servers are at their capacity.")
				.retryAfter(OVERLOAD_RETRY_AFTER));
		}
		return Optional.empty();
	}

	private double concurrencyLimit(long nowMillis) {
		double pool = this.poolCapacity.getAsDouble();
		double ownPart = Double.isInfinite(pool) ? pool
				: pool * this.settings.poolOvercommit() * this.shares.share(POOL_KEY, nowMillis);
		return Math.max(this.settings.minConcurrency(), Math.min(ownPart, this.adaptiveLimit.limit(ownPart)));
	}

	private double fairLevel(double limit, long nowMillis) {
		this.accounts.values()
			.removeIf((usage) -> usage.inFlight == 0 && nowMillis - usage.offeredAtMillis > ACCOUNT_IDLE_MILLIS);
		List<Double> demands = this.accounts.values()
			.stream()
			.map((usage) -> usage.demand(nowMillis, this.meanLatencyMillis))
			.toList();
		return MaxMinFairness.level(demands, limit);
	}

	@Override
	public synchronized void release(ClientAccount account, long tokens, double latencyMillis, long nowMillis) {
		this.inFlight = Math.max(0, this.inFlight - 1);
		Usage usage = this.accounts.get(account.id().value());
		if (usage != null && usage.inFlight > 0) {
			double reserved = usage.reservedTokens / usage.inFlight;
			usage.reservedTokens -= reserved;
			usage.tokens.remove(tokens - reserved);
			usage.inFlight--;
		}
		if (tokens > 0) {
			updateLatency(tokens, latencyMillis, nowMillis);
		}
	}

	private void updateLatency(long tokens, double latencyMillis, long nowMillis) {
		this.adaptiveLimit.recordSample(tokens, latencyMillis, this.inFlight + 1, nowMillis);
		boolean first = Double.isNaN(this.meanLatencyMillis);
		this.meanLatencyMillis = first ? latencyMillis : 0.95 * this.meanLatencyMillis + 0.05 * latencyMillis;
		boolean least = Double.isNaN(this.minLatencyMillis) || latencyMillis < this.minLatencyMillis;
		this.minLatencyMillis = least ? latencyMillis
				: this.minLatencyMillis + 0.001 * (latencyMillis - this.minLatencyMillis);
	}

	private static double estimatedTokens(RequestFacts request) {
		return request.promptTokens() + request.maxAnswerTokens() / 2.0;
	}

	/**
	 * Returns an announcement of this host's demand, to be sent to all hosts about twice
	 * a second.
	 * @param nowMillis current time of the injected clock
	 * @return a payload for the admission policies of the other hosts
	 */
	public synchronized byte[] announceDemand(long nowMillis) {
		return this.shares.announce(nowMillis);
	}

	/**
	 * Applies the announcement of another host; a malformed payload is ignored.
	 * @param payload the announcement, as returned on the other host
	 * @param nowMillis current time of the injected clock
	 */
	public synchronized void applyAnnouncement(byte[] payload, long nowMillis) {
		this.shares.merge(payload, nowMillis);
	}

	/**
	 * Requests and tokens that one client account uses of its limits on this host.
	 * Guarded by the policy's lock.
	 */
	private static final class Usage {

		private static final double HALF_LIFE_MILLIS = 2_000;

		private final TokenBucket requests;

		private final TokenBucket tokens;

		private int inFlight;

		private double reservedTokens;

		private double decayedOffers;

		private long offeredAtMillis;

		private Usage(long nowMillis) {
			this.requests = TokenBucket.full(nowMillis);
			this.tokens = TokenBucket.full(nowMillis);
			this.offeredAtMillis = nowMillis;
		}

		private void recordOffered(long nowMillis) {
			this.decayedOffers = decayed(nowMillis) + 1;
			this.offeredAtMillis = nowMillis;
		}

		private double decayed(long nowMillis) {
			return this.decayedOffers * Math.pow(0.5, Math.max(0, nowMillis - this.offeredAtMillis) / HALF_LIFE_MILLIS);
		}

		// Returns how many requests would be in flight if all were admitted, by Little's
		// law.
		private double demand(long nowMillis, double meanLatencyMillis) {
			double perMilli = decayed(nowMillis) * Math.log(2) / HALF_LIFE_MILLIS;
			double offered = Double.isNaN(meanLatencyMillis) ? 0 : perMilli * meanLatencyMillis;
			return Math.max(this.inFlight, offered);
		}

	}

}
