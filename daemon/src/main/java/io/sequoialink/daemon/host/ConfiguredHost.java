package io.sequoialink.daemon.host;

import java.net.InetSocketAddress;
import java.util.List;

import io.sequoialink.daemon.http.HttpLimits;
import io.sequoialink.daemon.settings.InputSettings;
import io.sequoialink.daemon.settings.KeySettings;
import io.sequoialink.daemon.settings.PlatformSettings;
import io.sequoialink.daemon.settings.PolicySettings;
import io.sequoialink.daemon.settings.Settings;
import io.sequoialink.membership.PeerKeys;
import io.sequoialink.model.HostId;
import io.sequoialink.remote.HttpAddress;
import io.sequoialink.remote.HttpClientPool;
import io.sequoialink.remote.HttpEngineClient;
import io.sequoialink.remote.HttpHostDirectory;
import io.sequoialink.remote.HttpPlatformLog;
import io.sequoialink.remote.HttpRatingService;
import io.sequoialink.remote.HttpServiceClient;
import io.sequoialink.router.SessionTokens;

/**
 * Builds what a host needs from its validated settings. Stateless and thread-safe.
 */
public final class ConfiguredHost {

	private ConfiguredHost() {
	}

	/**
	 * Returns the identity of the host.
	 * @param settings the settings
	 * @param startedAtMillis start of the process, epoch milliseconds
	 * @return the identity
	 */
	public static HostIdentity identity(Settings settings, long startedAtMillis) {
		List<InetSocketAddress> seeds = settings.peers().seeds().stream().map(HttpAddress::socketAddress).toList();
		KeySettings.Ring session = settings.keys().session();
		return new HostIdentity(new HostId(settings.host().id()), startedAtMillis, settings.host().zone(),
				settings.host().ip(), settings.host().httpPort(), settings.host().peerPort(), seeds,
				peerKeys(settings.keys().peer()), new SessionTokens(session.active(), session.secrets()),
				settings.keys().operator(), limits(settings.input()), settings.host().drainLimit(), startedAtMillis);
	}

	/**
	 * Returns clients of the outside systems.
	 * @param platform the addresses and timeouts
	 * @param pool the connections, which the caller closes
	 * @return the clients
	 */
	public static OutsideSystems outside(PlatformSettings platform, HttpClientPool pool) {
		return new OutsideSystems(new HttpPlatformLog(pool, platform.log(), platform.callTimeout()),
				new HttpHostDirectory(pool, platform.directory(), platform.callTimeout()),
				new HttpRatingService(pool, platform.rating(), platform.ratingTimeout()),
				new HttpEngineClient(pool, platform.callTimeout()), new HttpServiceClient(pool),
				platform.logRetention());
	}

	/**
	 * Returns the policies.
	 * @param policy their parameters
	 * @return the factory
	 */
	public static HostPolicies.Factory policies(PolicySettings policy) {
		return (inputs) -> HostPolicies.of(inputs, policy);
	}

	private static PeerKeys peerKeys(KeySettings.Ring ring) {
		PeerKeys.Builder keys = PeerKeys.builder();
		ring.secrets().forEach(keys::accept);
		return keys.active(ring.active()).build();
	}

	private static HttpLimits limits(InputSettings input) {
		return new HttpLimits((int) input.maxBody().bytes(), (int) input.maxHeaders().bytes(), input.bodyTimeout(),
				input.maxInFlight(), input.maxAnswerTokens(), input.maxMessages());
	}

}
