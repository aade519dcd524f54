package io.sequoialink.gateway.http;

import java.util.Locale;

import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.count.GatewayMetrics;
import io.sequoialink.gateway.flow.Executed;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Writes the single log line and counter increment that record how a request ended.
 * Immutable.
 *
 * @param id identifier of the request
 * @param account name of the client account, or {@code none}
 * @param route name of the route, or {@code none}
 */
record AccessLogEntry(String id, String account, String route) {

	private static final Logger logger = LoggerFactory.getLogger(AccessLogEntry.class);

	/**
	 * Logs and counts the end of the request. Responses other than 2xx are logged as
	 * warnings.
	 * @param counts counters of the host
	 * @param result how the request ended
	 */
	void write(GatewayMetrics counts, Result result) {
		String ran = result.ran().name().toLowerCase(Locale.ROOT);
		counts.requests().increment(this.route, this.account, result.outcome(), ran);
		Level level = (result.status() >= 200 && result.status() < 300) ? Level.INFO : Level.WARN;
		logger.atLevel(level)
			.log(GatewayEvents.REQUEST_ENDED, this.id, this.account, this.route, result.status(), result.ran(),
					result.attempts(), result.server(), result.millis(), result.detail());
	}

	/**
	 * How a request ended. Immutable.
	 *
	 * @param status status code sent to the client, 0 if the client's connection was
	 * closed instead
	 * @param ran whether a backend server is known to have run the request
	 * @param attempts number of attempts
	 * @param server server of the last attempt with its version and model
	 * @param millis time since the request was received, in milliseconds
	 * @param onConnection number of requests received on the client's connection, this
	 * one included
	 * @param outcome value of the metric label; one of a few fixed texts
	 * @param reason details for the log line, may be empty
	 * @param origin connection and response of the last attempt, empty if nothing was
	 * sent
	 */
	record Result(int status, Executed ran, int attempts, String server, long millis, int onConnection, String outcome,
			String reason, String origin) {

		private String detail() {
			String kept = (this.onConnection > 1) ? ", request " + this.onConnection + " of its connection" : "";
			String carried = this.origin.isEmpty() ? "" : " [" + this.origin + "]";
			return (this.reason.isEmpty() ? this.outcome : this.outcome + " (" + this.reason + ")") + carried + kept;
		}

	}

}
