package io.sequoialink.model;

import java.util.Objects;

/**
 * Load that a backend server reported about itself; it may be out of date when it is
 * used. Immutable and thread-safe.
 *
 * @param server the reporting server
 * @param running number of requests in the current batch
 * @param queued number of requests that wait to join the batch
 * @param capacity greatest number of requests in a batch
 * @param observedAtMillis time at which the server measured its load, in milliseconds
 * since 1970
 */
public record LoadReport(ServerId server, int running, int queued, int capacity, long observedAtMillis) {

	public LoadReport {
		Objects.requireNonNull(server, "server");
	}

}
