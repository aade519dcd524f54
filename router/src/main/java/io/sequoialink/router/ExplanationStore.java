package io.sequoialink.router;

import java.util.Optional;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.sequoialink.model.RequestId;

/**
 * Keeps the explanations of recent requests in memory and evicts some of them when the
 * capacity, a number of requests, is exceeded. Thread-safe.
 */
public final class ExplanationStore {

	private final Cache<RequestId, Explanation> byRequest;

	public ExplanationStore(int capacity) {
		this.byRequest = Caffeine.newBuilder().maximumSize(capacity).executor(Runnable::run).build();
	}

	Explanation create(RequestId request, long nowMillis) {
		Explanation explanation = new Explanation(request, nowMillis);
		this.byRequest.put(request, explanation);
		return explanation;
	}

	/**
	 * Returns the explanation of a request as recorded until now.
	 * @param request the identifier of the request
	 * @return the explanation, or empty if this host did not process the request or has
	 * evicted its explanation
	 */
	public Optional<Explanation.Snapshot> find(RequestId request) {
		return Optional.ofNullable(this.byRequest.getIfPresent(request)).map(Explanation::snapshot);
	}

}
