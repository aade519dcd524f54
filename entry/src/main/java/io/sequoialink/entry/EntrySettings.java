package io.sequoialink.entry;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Settings of an entry host, read from its settings file. Immutable.
 *
 * @param host name of the host, unique in the fleet
 * @param zone availability zone of the host
 * @param clients address on which clients connect
 * @param readiness address of the readiness check and the metrics page
 * @param store address of the platform's store
 * @param peers address on which this host receives datagrams of other hosts; if empty, it
 * exchanges no datagrams with other hosts and always reads the store itself
 * @param sightingBytesPerSecond most bytes per second that this host sends to other hosts
 * to gossip notices of backend servers (shutting down, back-off)
 * @param bounds time limits and budgets set by the platform
 */
public record EntrySettings(String host, String zone, InetSocketAddress clients, InetSocketAddress readiness,
		InetSocketAddress store, Optional<InetSocketAddress> peers, int sightingBytesPerSecond, Bounds bounds) {

	/**
	 * Time limits and budgets set by the platform. Immutable.
	 *
	 * @param stopMillis time from the stop signal to the exit of the process, in
	 * milliseconds
	 * @param leavingMillis time after a server begins to shut down within which it must
	 * stop receiving requests, in milliseconds
	 * @param applyMillis time within which a new configuration must take effect, in
	 * milliseconds
	 * @param repeatRatio allowed ratio of retries to requests
	 * @param repeatSlack retries of the whole fleet that are allowed on top of the ratio
	 * @param repeatWindowMillis window over which retries are counted, in milliseconds
	 * @param exposureShare share of a service's requests that a new version may receive
	 * before the roll-out evaluation accepts it
	 * @param exposureSlack requests that it may receive on top of that share
	 * @param sessionMillis time without requests after which a session ends, in
	 * milliseconds
	 */
	public record Bounds(long stopMillis, long leavingMillis, long applyMillis, double repeatRatio, double repeatSlack,
			long repeatWindowMillis, double exposureShare, double exposureSlack, long sessionMillis) {
	}

}
