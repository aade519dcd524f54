package io.sequoialink.gateway.http;

import java.util.Locale;

import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.count.GatewayCounts;
import io.sequoialink.gateway.flow.Ran;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * The one line that tells how a request ended, and its count. Immutable.
 *
 * @param id identifier of the request
 * @param account name of the client account, or {@code none}
 * @param route name of the route, or {@code none}
 */
record FinalLine(String id, String account, String route) {

	private static final Logger logger = LoggerFactory.getLogger(FinalLine.class);

	/**
	 * Logs and counts the end of the request.
	 * @param counts counters of the host
	 * @param end how it ended
	 */
	void write(GatewayCounts counts, End end) {
		String ran = end.ran().name().toLowerCase(Locale.ROOT);
		counts.requests().add(this.route, this.account, end.outcome(), ran);
		Level level = (end.status() >= 200 && end.status() < 300) ? Level.INFO : Level.WARN;
		logger.atLevel(level)
			.log(GatewayEvents.REQUEST_ENDED, this.id, this.account, this.route, end.status(), end.ran(), end.sends(),
					end.server(), end.millis(), end.detail());
	}

	/**
	 * How a request ended. Immutable.
	 *
	 * @param status status code, 0 if the connection was closed
	 * @param ran what is known of whether it ran
	 * @param sends how often it was sent
	 * @param server the server of the last send with its version and model
	 * @param millis time since its receipt, in milliseconds
	 * @param outcome one of few texts, for the counters
	 * @param reason what led to the outcome, or an empty text
	 */
	record End(int status, Ran ran, int sends, String server, long millis, String outcome, String reason) {

		private String detail() {
			return this.reason.isEmpty() ? this.outcome : this.outcome + " (" + this.reason + ")";
		}

	}

}
