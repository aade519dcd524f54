package io.sequoialink.daemon.host;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import io.sequoialink.daemon.http.HttpLimits;
import io.sequoialink.membership.PeerKeys;
import io.sequoialink.model.HostId;
import io.sequoialink.router.SessionTokens;

/**
 * What distinguishes one host from the others, and what it needs to join them. Immutable
 * and thread-safe.
 *
 * @param host the host
 * @param incarnation start of the process, epoch milliseconds
 * @param zone its availability zone
 * @param ip numeric address of its ports
 * @param httpPort port for callers and operators, 0 for any free one
 * @param peerPort port for peers, 0 for any free one
 * @param seeds peer ports at which members may be met first
 * @param peerKeys keys that authenticate messages of peers
 * @param sessions keys that seal session tokens
 * @param adminKey the operators' key, if one is needed
 * @param limits bounds on callers
 * @param drainLimit the longest time that a stop waits for requests in progress
 * @param seed seed of the host's random choices
 */
public record HostIdentity(HostId host, long incarnation, String zone, String ip, int httpPort, int peerPort,
		List<InetSocketAddress> seeds, PeerKeys peerKeys, SessionTokens sessions, Optional<String> adminKey,
		HttpLimits limits, Duration drainLimit, long seed) {

	public HostIdentity {
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(zone, "zone");
		Objects.requireNonNull(ip, "ip");
		seeds = List.copyOf(seeds);
		Objects.requireNonNull(peerKeys, "peerKeys");
		Objects.requireNonNull(sessions, "sessions");
		Objects.requireNonNull(adminKey, "adminKey");
		Objects.requireNonNull(limits, "limits");
		Objects.requireNonNull(drainLimit, "drainLimit");
	}

}
