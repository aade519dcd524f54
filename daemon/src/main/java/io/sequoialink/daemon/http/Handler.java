package io.sequoialink.daemon.http;

import java.io.IOException;

import io.sequoialink.router.RefusedException;

/**
 * Answers one HTTP exchange. Implementations are thread-safe and may block.
 */
@FunctionalInterface
interface Handler {

	/**
	 * Answers the exchange.
	 * @param exchange request and response
	 * @throws RefusedException if the request is refused before the response has begun
	 * @throws IOException if the caller closed its connection
	 */
	void handle(Exchange exchange) throws RefusedException, IOException;

}
