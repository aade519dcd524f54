package io.sequoialink.standin;

import java.io.IOException;
import java.util.Collections;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

import io.sequoialink.remote.RatingService.RatedAnswer;

/**
 * The platform's rating service: noisy, late and sometimes silent. Thread-safe.
 */
public final class StandinRatingService extends StandinServer {

	/** The rating of a good answer before noise. */
	public static final double GOOD = 0.8;

	/** The rating of any other answer before noise. */
	public static final double POOR = 0.3;

	private final Outcomes outcomes;

	private final long seed;

	private final AtomicLong ratings = new AtomicLong();

	private volatile double delayMillis;

	private volatile double noiseSd;

	private volatile double missingShare;

	private volatile boolean unavailable;

	/**
	 * Creates a rating service with the deviations of the outcomes' table.
	 * @param outcomes knows how good each answer is
	 * @param seed seed of noise and missing ratings
	 * @param speed factor on the delay
	 */
	public StandinRatingService(Outcomes outcomes, long seed, double speed) {
		this.outcomes = outcomes;
		this.seed = seed;
		this.delayMillis = outcomes.table().rating().delay() * speed;
		this.noiseSd = outcomes.table().rating().noiseSd();
		this.missingShare = outcomes.table().rating().missingShare();
	}

	/**
	 * Sets how ratings deviate.
	 * @param millis time until a rating, in milliseconds
	 * @param noise standard deviation of the noise
	 * @param missing share of answers without a rating
	 */
	public void deviate(double millis, double noise, double missing) {
		this.delayMillis = millis;
		this.noiseSd = noise;
		this.missingShare = missing;
	}

	/**
	 * Switches an outage on or off.
	 * @param refused whether calls are refused
	 */
	public void unavailable(boolean refused) {
		this.unavailable = refused;
	}

	/**
	 * Returns the ratings given so far.
	 * @return a count, without missing ratings
	 */
	public long ratings() {
		return this.ratings.get();
	}

	@Override
	void handle(Exchange exchange) throws IOException, InterruptedException {
		if (this.unavailable) {
			exchange.refuse(503, "outage");
			return;
		}
		RatedAnswer answer = exchange.json(RatedAnswer.class);
		Thread.sleep((long) this.delayMillis);
		String name = answer.request() + "/" + answer.attempt();
		int quality = this.outcomes.quality(answer.request().value(), answer.answer());
		if (quality < 0 || Draws.unit(this.seed, "missing", name) < this.missingShare) {
			exchange.answer(200, Collections.singletonMap("rating", null));
			return;
		}
		double noise = Draws.gaussian(this.seed, "noise", name) * this.noiseSd;
		this.ratings.incrementAndGet();
		exchange.answer(200, Map.of("rating", Math.max(0, Math.min(1, ((quality == 1) ? GOOD : POOR) + noise))));
	}

}
