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
 * Admits by deadline, then by the account's limits, then by the load.
 * <p>
 * Inputs: times in milliseconds of one injected clock; tokens count prompt and answer.
 * Invariants: each host enforces its share of the fleet's limits (see
 * {@link DemandShares}); rates and tokens have a burst of one second or one request;
 * under load the accounts share the concurrency by max-min fairness, and a lower priority
 * is refused before a higher one. Thread-safe: one lock guards all state; the suppliers
 * are called under it and must not block. A decision costs time in the number of members
 * and of active accounts.
 */
public final class FleetAdmissionPolicy implements AdmissionPolicy {

	private static final String POOL = "*";

	/** Part of the concurrency that is given out without regard to fairness. */
	private static final double FREE_PART = 0.5;

	/** Part of the shortest recent answer that a request is sure to take. */
	private static final double LEAST_TIME_PART = 0.5;

	/** Part of an even split below which an account counts as small. */
	private static final double SMALL_PART = 0.5;

	/** Multiple of the concurrency up to which small accounts are still admitted. */
	private static final double OVERFLOW = 1.1;

	private static final Duration OVERLOAD_RETRY = Duration.ofSeconds(1);

	private static final double MILLIS_PER_SECOND = 1000;

	/** Time after which an account without requests is forgotten. */
	private static final long IDLE_MILLIS = 60_000;

	private final LimitSettings settings;

	private final DoubleSupplier poolCapacity;

	private final DemandShares shares;

	private final AdaptiveLimit adaptive;

	private final Map<String, Usage> accounts = new HashMap<>();

	private int inFlight;

	private double meanLatencyMillis = Double.NaN;

	private double leastLatencyMillis = Double.NaN;

	/**
	 * Creates the policy of one host.
	 * @param self this host
	 * @param members the live hosts, this one among them; must not block
	 * @param poolCapacity requests that all backend servers can run at one time; infinite
	 * if unknown; must not block
	 * @param settings the parameters
	 */
	public FleetAdmissionPolicy(HostId self, Supplier<List<HostId>> members, DoubleSupplier poolCapacity,
			LimitSettings settings) {
		this.settings = settings;
		this.poolCapacity = poolCapacity;
		this.shares = new DemandShares(self, members, settings);
		this.adaptive = new AdaptiveLimit(settings);
	}

	@Override
	public synchronized Optional<Refusal> admit(ClientAccount account, RequestFacts request, long nowMillis) {
		String key = account.id().value();
		this.shares.offered(key, nowMillis);
		this.shares.offered(POOL, nowMillis);
		Usage usage = this.accounts.computeIfAbsent(key, (absent) -> new Usage(nowMillis));
		usage.offer(nowMillis);
		Optional<Refusal> refusal = byDeadline(request, nowMillis)
			.or(() -> byAccount(account.limits(), usage, key, request, nowMillis))
			.or(() -> byLoad(usage, request, nowMillis));
		if (refusal.isEmpty()) {
			usage.inFlight++;
			usage.requests.take(1);
			usage.tokens.take(estimate(request));
			usage.reserved += estimate(request);
			this.inFlight++;
		}
		return refusal;
	}

	private Optional<Refusal> byDeadline(RequestFacts request, long nowMillis) {
		double remaining = request.deadlineMillis() - nowMillis;
		boolean impossible = remaining <= 0 || remaining < LEAST_TIME_PART * this.leastLatencyMillis;
		return impossible
				? Optional.of(Refusal.notRun(RefusalCode.DEADLINE_IMPOSSIBLE, "The deadline is in "
						+ Math.round(remaining) + " ms, far less than the shortest recent answer took."))
				: Optional.empty();
	}

	private Optional<Refusal> byAccount(AccountLimits limits, Usage usage, String key, RequestFacts request,
			long nowMillis) {
		double share = this.shares.share(key, nowMillis);
		double requestRate = limits.requestsPerSecond() * share;
		double tokenRate = limits.tokensPerSecond() * share;
		usage.requests.fill(requestRate, Math.max(1, requestRate), nowMillis);
		usage.tokens.fill(tokenRate, Math.max(estimate(request), tokenRate), nowMillis);
		if (usage.inFlight >= Math.max(1, Math.round(limits.concurrency() * share))) {
			return Optional.of(limitReached("requests in flight", (long) MILLIS_PER_SECOND));
		}
		if (!usage.requests.holds(1)) {
			return Optional.of(limitReached("requests a second", usage.requests.millisUntil(1, requestRate)));
		}
		double needed = Math.min(estimate(request), tokenRate);
		if (!usage.tokens.holds(needed)) {
			return Optional.of(limitReached("tokens a second", usage.tokens.millisUntil(needed, tokenRate)));
		}
		return Optional.empty();
	}

	private static Refusal limitReached(String limit, long waitMillis) {
		return Refusal.notRun(RefusalCode.LIMIT_REACHED, "The account's limit of " + limit + " is used up.")
			.retryAfter(Duration.ofMillis(waitMillis));
	}

	private Optional<Refusal> byLoad(Usage usage, RequestFacts request, long nowMillis) {
		double limit = concurrencyLimit(nowMillis);
		double forPriority = limit * (1 - this.settings.priorityStep() * request.priority());
		if (this.inFlight < FREE_PART * forPriority) {
			return Optional.empty();
		}
		double level = fairLevel(forPriority, nowMillis);
		boolean small = usage.inFlight + 1 <= SMALL_PART * forPriority / this.accounts.size();
		boolean full = this.inFlight + 1 > Math.max(1, small ? Math.ceil(OVERFLOW * forPriority) : forPriority);
		if (full || usage.inFlight + 1 > Math.max(1, level)) {
			return Optional.of(Refusal.notRun(RefusalCode.OVERLOADED, "The backend servers are at their capacity.")
				.retryAfter(OVERLOAD_RETRY));
		}
		return Optional.empty();
	}

	private double concurrencyLimit(long nowMillis) {
		double pool = this.poolCapacity.getAsDouble();
		double known = Double.isInfinite(pool) ? pool
				: pool * this.settings.poolOvercommit() * this.shares.share(POOL, nowMillis);
		return Math.max(this.settings.minConcurrency(), Math.min(known, this.adaptive.limit(known)));
	}

	private double fairLevel(double limit, long nowMillis) {
		this.accounts.values()
			.removeIf((usage) -> usage.inFlight == 0 && nowMillis - usage.offeredAtMillis > IDLE_MILLIS);
		List<Double> demands = this.accounts.values()
			.stream()
			.map((usage) -> usage.demand(nowMillis, this.meanLatencyMillis))
			.toList();
		return FairShares.level(demands, limit);
	}

	@Override
	public synchronized void release(ClientAccount account, long tokens, double latencyMillis, long nowMillis) {
		this.inFlight = Math.max(0, this.inFlight - 1);
		Usage usage = this.accounts.get(account.id().value());
		if (usage != null && usage.inFlight > 0) {
			double reserved = usage.reserved / usage.inFlight;
			usage.reserved -= reserved;
			usage.tokens.take(tokens - reserved);
			usage.inFlight--;
		}
		if (tokens > 0) {
			learn(tokens, latencyMillis, nowMillis);
		}
	}

	private void learn(long tokens, double latencyMillis, long nowMillis) {
		this.adaptive.sample(tokens, latencyMillis, this.inFlight + 1, nowMillis);
		boolean first = Double.isNaN(this.meanLatencyMillis);
		this.meanLatencyMillis = first ? latencyMillis : 0.95 * this.meanLatencyMillis + 0.05 * latencyMillis;
		boolean least = Double.isNaN(this.leastLatencyMillis) || latencyMillis < this.leastLatencyMillis;
		this.leastLatencyMillis = least ? latencyMillis
				: this.leastLatencyMillis + 0.001 * (latencyMillis - this.leastLatencyMillis);
	}

	private static double estimate(RequestFacts request) {
		return request.promptTokens() + request.maxAnswerTokens() / 2.0;
	}

	/**
	 * Returns this host's demand, to be sent to all members about twice a second.
	 * @param nowMillis the injected clock
	 * @return a payload for {@link #merge}
	 */
	public synchronized byte[] announce(long nowMillis) {
		return this.shares.announce(nowMillis);
	}

	/**
	 * Takes the demand of a peer; a malformed payload changes nothing.
	 * @param payload what {@link #announce} returned there
	 * @param nowMillis the injected clock
	 */
	public synchronized void merge(byte[] payload, long nowMillis) {
		this.shares.merge(payload, nowMillis);
	}

	/** What one account uses on this host. Guarded by the policy's lock. */
	private static final class Usage {

		private static final double HALF_LIFE_MILLIS = 2_000;

		private final TokenBucket requests;

		private final TokenBucket tokens;

		private int inFlight;

		private double reserved;

		private double offeredWeight;

		private long offeredAtMillis;

		private Usage(long nowMillis) {
			this.requests = TokenBucket.full(nowMillis);
			this.tokens = TokenBucket.full(nowMillis);
			this.offeredAtMillis = nowMillis;
		}

		private void offer(long nowMillis) {
			this.offeredWeight = decayed(nowMillis) + 1;
			this.offeredAtMillis = nowMillis;
		}

		private double decayed(long nowMillis) {
			return this.offeredWeight * Math.pow(0.5, Math.max(0, nowMillis - this.offeredAtMillis) / HALF_LIFE_MILLIS);
		}

		// Returns the requests that would be in flight if all were admitted.
		private double demand(long nowMillis, double meanLatencyMillis) {
			double perMilli = decayed(nowMillis) * Math.log(2) / HALF_LIFE_MILLIS;
			double offered = Double.isNaN(meanLatencyMillis) ? 0 : perMilli * meanLatencyMillis;
			return Math.max(this.inFlight, offered);
		}

	}

}
