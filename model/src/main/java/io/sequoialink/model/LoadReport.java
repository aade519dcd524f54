package io.sequoialink.model;

import java.util.Objects;

/**
 * What a backend server reports of its load, with a lag. Immutable and thread-safe.
 *
 * @param server the reporting server
 * @param running requests in its batch
 * @param queued requests that wait for its batch
 * @param capacity requests that its batch can hold
 * @param observedAtMillis when the server took the figures, epoch milliseconds
 */
public record LoadReport(ServerId server, int running, int queued, int capacity, long observedAtMillis) {

	public LoadReport {
		Objects.requireNonNull(server, "server");
	}

}
