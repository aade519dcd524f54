package io.sequoialink.gateway.http;

import java.util.Locale;

import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.count.LabelledCounters;
import io.sequoialink.gateway.fleet.ServerEntry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs and counts the heads of responses that no request took, so that a wrong answer can
 * be led back to the one that was dropped before it. Confined to the event loop.
 */
final class UnexpectedHeads {

	private static final Logger logger = LoggerFactory.getLogger(BackendConnection.class);

	/** Longest id that is logged whole, in characters: a server may send any text. */
	private static final int MAX_LOGGED_ID = 32;

	private final LabelledCounters counts;

	/**
	 * Creates a log of heads.
	 * @param counts counts the heads by reason
	 */
	UnexpectedHeads(LabelledCounters counts) {
		this.counts = counts;
	}

	/**
	 * Describes a head for the log.
	 * @param status status code of the response
	 * @param id id in the head, empty without one
	 * @return text of bounded length
	 */
	static String describe(int status, String id) {
		return "head with status " + status + " and id '" + id.substring(0, Math.min(id.length(), MAX_LOGGED_ID)) + "'";
	}

	/**
	 * Counts a head.
	 * @param reason why it was not taken
	 */
	void count(UnexpectedHead reason) {
		this.counts.increment(reason.name().toLowerCase(Locale.ROOT));
	}

	/**
	 * Logs and counts a head, or bytes of which none was read.
	 * @param reason why it was not taken
	 * @param server server of the connection
	 * @param use the connection and the number of its last request
	 * @param received what was received
	 * @param awaiting id of the request that awaits a response, "none" without one
	 */
	void record(UnexpectedHead reason, ServerEntry server, ConnectionUse use, String received, String awaiting) {
		count(reason);
		logger.info(GatewayEvents.HEAD_NOT_TAKEN, server.id(), received, use, awaiting, reason.reason());
	}

}
