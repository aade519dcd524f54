package io.sequoialink.remote;

import java.time.Duration;
import java.util.OptionalDouble;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The platform's rating service over HTTP. Immutable and thread-safe.
 */
public final class HttpRatingService implements RatingService {

	private final HttpClientPool pool;

	private final HttpAddress address;

	private final Duration timeout;

	/**
	 * Creates a client of the rating service.
	 * @param pool the shared HTTP clients
	 * @param address the service's address
	 * @param timeout the longest wait for one rating
	 */
	public HttpRatingService(HttpClientPool pool, HttpAddress address, Duration timeout) {
		this.pool = pool;
		this.address = address;
		this.timeout = timeout;
	}

	@Override
	public OptionalDouble rate(RatedAnswer answer) throws RatingUnavailableException {
		try {
			JsonNode rating = HttpCall.to(this.pool, this.address, "POST", "/v1/ratings", this.timeout)
				.json(answer)
				.send()
				.orRefusal(this.address)
				.json()
				.path("rating");
			return isRating(rating) ? OptionalDouble.of(rating.asDouble()) : OptionalDouble.empty();
		}
		catch (BackendException ex) {
			throw new RatingUnavailableException("no rating: " + ex.getMessage(), ex);
		}
	}

	private static boolean isRating(JsonNode rating) {
		return rating.isNumber() && rating.asDouble() >= 0 && rating.asDouble() <= 1;
	}

}
