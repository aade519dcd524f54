package io.sequoialink.bench.latency;

import java.io.IOException;
import java.util.List;
import java.util.function.Supplier;

import io.sequoialink.bench.live.DeploymentObjects;
import io.sequoialink.bench.live.FleetException;
import io.sequoialink.bench.live.LiveFleet;
import io.sequoialink.daemon.host.HostPolicies;
import io.sequoialink.decision.ServerPolicy;
import io.sequoialink.decision.cascade.FixedCascadePolicy;
import io.sequoialink.decision.limits.FleetAdmissionPolicy;
import io.sequoialink.decision.limits.LimitSettings;
import io.sequoialink.model.AccountId;
import io.sequoialink.model.AccountLimits;
import io.sequoialink.model.ClientAccount;
import io.sequoialink.model.Labels;
import io.sequoialink.model.Selector;
import io.sequoialink.remote.LogUnavailableException;
import io.sequoialink.router.Digests;
import io.sequoialink.standin.Standins;

/**
 * Starts fleets in which only the choice of the server matters: every request runs on the
 * cheapest version, and one account has limits that are never reached. Stateless.
 */
final class LatencyFleet {

	/** The account of all requests. */
	static final String ACCOUNT = "latency";

	private static final double UNLIMITED = 1e9;

	private static final LimitSettings LIMITS = new LimitSettings(5_000, 10_000, 10, 60_000, 0, 3_000, 2_000, 1, 1.7,
			0);

	private LatencyFleet() {
	}

	static LiveFleet start(String deployment, long seed, int hosts, double speed, Supplier<ServerPolicy> servers)
			throws IOException, FleetException, LogUnavailableException {
		HostPolicies.Factory factory = (inputs) -> {
			HostPolicies usual = HostPolicies.DEFAULT.create(inputs);
			return new HostPolicies(new FixedCascadePolicy(0, 0), usual.rollout(), servers.get(), usual.outliers(),
					usual.retry(), new FleetAdmissionPolicy(inputs.host(), inputs.members(), () -> UNLIMITED, LIMITS),
					usual.crash());
		};
		Standins standins = Standins.of(deployment).seed(seed).timeScale(speed).start();
		LiveFleet fleet = LiveFleet.start(deployment, standins, hosts, factory, seed);
		fleet.publish(List.of(new ClientAccount(new AccountId(ACCOUNT), Labels.none(),
				Digests.keyDigest(DeploymentObjects.key(ACCOUNT)), Selector.everything(), 0,
				new AccountLimits(UNLIMITED, (int) UNLIMITED, UNLIMITED))));
		fleet.awaitReady();
		return fleet;
	}

}
