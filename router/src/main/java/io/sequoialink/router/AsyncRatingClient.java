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
 * Calls the rating service on worker threads. Thread-safe; the executor limits the number
 * of pending calls, and a call that it rejects is not made.
 */
final class AsyncRatingClient {

	private static final Logger LOG = LoggerFactory.getLogger(AsyncRatingClient.class);

	private final RatingService service;

	private final Executor executor;

	AsyncRatingClient(RatingService service, Executor executor) {
		this.service = service;
		this.executor = executor;
	}

	/**
	 * Requests the rating of an answer without blocking.
	 * @param answer the answer with its request
	 * @return completes with the rating; empty if the service is unavailable, gives no
	 * rating, or the executor rejected the call
	 */
	CompletableFuture<OptionalDouble> rate(RatingService.RatedAnswer answer) {
		try {
			return CompletableFuture.supplyAsync(() -> requestRating(answer), this.executor);
		}
		catch (RejectedExecutionException ex) {
			LOG.warn(RouterEvents.RATING_DROPPED, "too many", answer.request());
			return CompletableFuture.completedFuture(OptionalDouble.empty());
		}
	}

	private OptionalDouble requestRating(RatingService.RatedAnswer answer) {
		try {
			return this.service.rate(answer);
		}
		catch (RatingUnavailableException ex) {
			LOG.debug(RouterEvents.RATING_UNAVAILABLE, ex.getMessage());
			return OptionalDouble.empty();
		}
	}

}
