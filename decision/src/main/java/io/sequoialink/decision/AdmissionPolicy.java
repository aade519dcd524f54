package io.sequoialink.decision;

import java.util.Optional;

import io.sequoialink.model.ClientAccount;
import io.sequoialink.model.Refusal;

/**
 * Admits or rejects requests, based on the limits of their client accounts and on the
 * current load. Implementations are thread-safe.
 */
public interface AdmissionPolicy {

	/**
	 * Admits a request or returns the reason why it is rejected. The caller must call
	 * {@link #release} exactly once for each admitted request.
	 * @param account the client account
	 * @param request the request
	 * @param nowMillis current time of the injected clock
	 * @return the rejection, or empty if the request is admitted
	 */
	Optional<Refusal> admit(ClientAccount account, RequestFacts request, long nowMillis);

	/**
	 * Frees the capacity of an admitted request that has ended.
	 * @param account the client account
	 * @param tokens tokens of prompt and answer that the request used; 0 if it got no
	 * answer or called no model
	 * @param latencyMillis duration of the request, in milliseconds
	 * @param nowMillis current time of the injected clock
	 */
	void release(ClientAccount account, long tokens, double latencyMillis, long nowMillis);

}
