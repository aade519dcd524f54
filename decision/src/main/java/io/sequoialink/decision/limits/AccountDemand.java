package io.sequoialink.decision.limits;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Rate at which requests for one service arrive at this host, by client account and
 * priority. Bounded: forgets the accounts that were not heard of for longest. Times are
 * monotonic nanoseconds of an injected clock. Confined to one thread.
 */
public final class AccountDemand {

	/**
	 * Time constant of the decaying rates, in seconds; long compared to the time between
	 * two requests of an account.
	 */
	private static final double MEAN_SECONDS = 30;

	/**
	 * Time for which all requests of an account and priority share one random number, in
	 * nanoseconds. Within it a repeated request gets the same decision. Rejected clients
	 * are told to wait for longer.
	 */
	static final long DRAW_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	private static final int MAX_ENTRIES = 512;

	private static final double NANOS_PER_SECOND = 1e9;

	private final Map<Key, Rate> rates = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Key, Rate> eldest) {
			return size() > MAX_ENTRIES;
		}
	};

	/**
	 * Counts a request that arrived, whether it is sent or not.
	 * @param account client account
	 * @param priority priority
	 * @param draw random number from 0 to 1
	 * @param nowNanos current time
	 */
	public void arrived(String account, int priority, double draw, long nowNanos) {
		Rate rate = this.rates.computeIfAbsent(new Key(account, priority), (key) -> new Rate(draw, nowNanos));
		rate.count = rate.decayed(nowNanos) + 1;
		rate.updatedNanos = nowNanos;
		if (nowNanos - rate.drawnNanos >= DRAW_NANOS) {
			rate.draw = draw;
			rate.drawnNanos = nowNanos;
		}
	}

	// Returns the random number shared by the requests of an account and priority.
	double draw(String account, int priority) {
		Rate rate = this.rates.get(new Key(account, priority));
		return (rate != null) ? rate.draw : 0;
	}

	// Returns the requests per second by priority and account, most urgent first.
	Map<Integer, Map<String, Double>> perSecond(long nowNanos) {
		Map<Integer, Map<String, Double>> result = new TreeMap<>();
		this.rates.forEach((key, rate) -> result.computeIfAbsent(key.priority(), (absent) -> new LinkedHashMap<>())
			.put(key.account(), rate.decayed(nowNanos) / MEAN_SECONDS));
		return result;
	}

	/**
	 * Returns the rate of all requests.
	 * @param nowNanos current time
	 * @return requests per second
	 */
	public double totalPerSecond(long nowNanos) {
		return this.rates.values().stream().mapToDouble((rate) -> rate.decayed(nowNanos)).sum() / MEAN_SECONDS;
	}

	/** Account and priority. Immutable. */
	private record Key(String account, int priority) {
	}

	/** Decaying count of requests, with the random number of the moment. */
	private static final class Rate {

		private double count;

		private long updatedNanos;

		private double draw;

		private long drawnNanos;

		private Rate(double draw, long nowNanos) {
			this.draw = draw;
			this.drawnNanos = nowNanos;
			this.updatedNanos = nowNanos;
		}

		private double decayed(long nowNanos) {
			return this.count * Math.exp(-(nowNanos - this.updatedNanos) / (NANOS_PER_SECOND * MEAN_SECONDS));
		}

	}

}
