package io.sequoialink.standin;

import java.io.IOException;
import java.util.Collections;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

import io.sequoialink.remote.RatingService.RatedAnswer;

/**
 * Simulates the platform's rating service. It rates an answer by the quality marker in
 * the text; ratings have noise, come after a delay and are missing for some answers.
 * Thread-safe.
 */
public final class StandinRatingService extends StandinServer {

	/** Rating, before noise, of an answer that meets the quality target. */
	public static final double RATING_IF_TARGET_MET = 0.8;

	/** Rating, before noise, of an answer that misses the quality target. */
	public static final double RATING_IF_TARGET_MISSED = 0.3;

	private final SimulatedOutcomes outcomes;

	private final long seed;

	private final AtomicLong ratingCount = new AtomicLong();

	private volatile double delayMillis;

	private volatile double noiseStandardDeviation;

	private volatile double missingShare;

	private volatile boolean unavailable;

	/**
	 * Creates a rating service that takes the delay and noise of ratings and the share of
	 * missing ratings from the outcome table.
	 * @param outcomes decodes the quality of an answer
	 * @param seed seed of the noise and of the choice of missing ratings
	 * @param timeScale factor applied to the delay
	 */
	public StandinRatingService(SimulatedOutcomes outcomes, long seed, double timeScale) {
		this.outcomes = outcomes;
		this.seed = seed;
		this.delayMillis = outcomes.table().rating().delay() * timeScale;
		this.noiseStandardDeviation = outcomes.table().rating().noiseSd();
		this.missingShare = outcomes.table().rating().missingShare();
	}

	/**
	 * Replaces the values of the outcome table for the delay and noise of ratings and the
	 * share of missing ratings.
	 * @param millis delay of each rating in milliseconds
	 * @param noise standard deviation of the noise
	 * @param missing share of answers that get no rating, in [0, 1]
	 */
	public void configure(double millis, double noise, double missing) {
		this.delayMillis = millis;
		this.noiseStandardDeviation = noise;
		this.missingShare = missing;
	}

	/**
	 * Starts or ends an outage, during which every call is rejected.
	 * @param unavailable whether calls are rejected
	 */
	public void setUnavailable(boolean unavailable) {
		this.unavailable = unavailable;
	}

	/**
	 * Returns how many ratings were given so far.
	 * @return the number of ratings; missing ones are not counted
	 */
	public long ratingCount() {
		return this.ratingCount.get();
	}

	@Override
	void handle(Exchange exchange) throws IOException, InterruptedException {
		if (this.unavailable) {
			exchange.rejectUnexecuted(503, "outage");
			return;
		}
		RatedAnswer answer = exchange.readJson(RatedAnswer.class);
		Thread.sleep((long) this.delayMillis);
		String attemptKey = answer.request() + "/" + answer.attempt();
		int quality = this.outcomes.decodeQuality(answer.request().value(), answer.answer());
		if (quality < 0 || SeededRandom.uniform(this.seed, "missing", attemptKey) < this.missingShare) {
			exchange.respond(200, Collections.singletonMap("rating", null));
			return;
		}
		double noise = SeededRandom.gaussian(this.seed, "noise", attemptKey) * this.noiseStandardDeviation;
		this.ratingCount.incrementAndGet();
		exchange.respond(200, Map.of("rating",
				Math.max(0, Math.min(1, ((quality == 1) ? RATING_IF_TARGET_MET : RATING_IF_TARGET_MISSED) + noise))));
	}

}
