package io.sequoialink.decision;

import java.util.Optional;

import io.sequoialink.model.ClientAccount;
import io.sequoialink.model.Refusal;

/**
 * Admits or refuses requests by the limits of their accounts and the load.
 * Implementations are thread-safe.
 */
public interface AdmissionPolicy {

	/**
	 * Admits a request or says why not. Each admitted request must be released once.
	 * @param account the client account
	 * @param request the request
	 * @param nowMillis the injected clock
	 * @return empty if the request is admitted
	 */
	Optional<Refusal> admit(ClientAccount account, RequestFacts request, long nowMillis);

	/**
	 * Releases an admitted request.
	 * @param account the client account
	 * @param tokens tokens that it used
	 * @param latencyMillis how long it took
	 * @param nowMillis the injected clock
	 */
	void release(ClientAccount account, long tokens, double latencyMillis, long nowMillis);

}
