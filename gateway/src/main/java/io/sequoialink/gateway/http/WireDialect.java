package io.sequoialink.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Names under which facts travel in headers. Implementations are stateless and safe for
 * any thread.
 */
public interface WireDialect {

	/**
	 * Reads what a client's request says of itself.
	 * @param headers headers of the request
	 * @return the facts; what can't be read counts as absent
	 */
	RequestFacts request(HttpHeaders headers);

	/**
	 * Replaces what only the system may state to a backend server.
	 * @param headers headers of the client's request without those of its connection;
	 * changed in place
	 * @param facts what to state
	 */
	void dispatch(HttpHeaders headers, DispatchFacts facts);

	/**
	 * Reads what an answer of a backend server says.
	 * @param headers headers of the answer
	 * @return the facts
	 */
	AnswerFacts answer(HttpHeaders headers);

	/**
	 * States the request's identifier in an answer of the system's own.
	 * @param headers headers of the answer; changed in place
	 * @param id identifier of the client attempt
	 */
	void ownAnswer(HttpHeaders headers, String id);

	/**
	 * Returns the path at which the platform asks whether this host is ready.
	 * @return the path
	 */
	String readinessPath();

}
