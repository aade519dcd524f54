package io.sequoialink.router;

import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;

import io.sequoialink.remote.RatingService;
import io.sequoialink.remote.RatingUnavailableException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Asks the rating service on worker threads. Thread-safe; the executor bounds the ratings
 * in progress, and a rating that it rejects is dropped.
 */
final class RatingDesk {

	private static final Logger LOG = LoggerFactory.getLogger(RatingDesk.class);

	private final RatingService service;

	private final Executor executor;

	RatingDesk(RatingService service, Executor executor) {
		this.service = service;
		this.executor = executor;
	}

	/**
	 * Asks for a rating.
	 * @param answer the answer with its request
	 * @return the rating, empty if the service gives none; never fails
	 */
	CompletableFuture<OptionalDouble> rate(RatingService.RatedAnswer answer) {
		try {
			return CompletableFuture.supplyAsync(() -> rateNow(answer), this.executor);
		}
		catch (RejectedExecutionException ex) {
			LOG.warn(RouterEvents.RATINGS_DROPPED, "too many", answer.request());
			return CompletableFuture.completedFuture(OptionalDouble.empty());
		}
	}

	private OptionalDouble rateNow(RatingService.RatedAnswer answer) {
		try {
			return this.service.rate(answer);
		}
		catch (RatingUnavailableException ex) {
			LOG.debug(RouterEvents.RATING_UNAVAILABLE, ex.getMessage());
			return OptionalDouble.empty();
		}
	}

}
