package io.sequoialink.router;

import java.util.Optional;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.sequoialink.model.RequestId;

/**
 * The newest explanations of this host. Thread-safe; holds at most a stated number.
 */
public final class ExplanationStore {

	private final Cache<RequestId, Explanation> byRequest;

	public ExplanationStore(int capacity) {
		this.byRequest = Caffeine.newBuilder().maximumSize(capacity).executor(Runnable::run).build();
	}

	Explanation open(RequestId request, long nowMillis) {
		Explanation explanation = new Explanation(request, nowMillis);
		this.byRequest.put(request, explanation);
		return explanation;
	}

	/**
	 * Returns the explanation of a request.
	 * @param request the request
	 * @return what this host did for it, if it still holds it
	 */
	public Optional<Explanation.Snapshot> find(RequestId request) {
		return Optional.ofNullable(this.byRequest.getIfPresent(request)).map(Explanation::snapshot);
	}

}
