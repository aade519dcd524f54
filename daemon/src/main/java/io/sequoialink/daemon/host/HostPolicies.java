package io.sequoialink.daemon.host;

import java.util.List;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

import io.sequoialink.decision.CascadePolicy;
import io.sequoialink.decision.CrashGuard;
import io.sequoialink.decision.RetryPolicy;
import io.sequoialink.decision.RolloutPolicy;
import io.sequoialink.decision.ServerPolicy;
import io.sequoialink.decision.cascade.AdaptiveCascadePolicy;
import io.sequoialink.decision.cascade.CascadeParameters;
import io.sequoialink.decision.limits.FleetAdmissionPolicy;
import io.sequoialink.decision.limits.LimitSettings;
import io.sequoialink.decision.retry.BudgetedRetryPolicy;
import io.sequoialink.decision.retry.RetrySettings;
import io.sequoialink.decision.rollout.RolloutSettings;
import io.sequoialink.decision.rollout.SharedRolloutPolicy;
import io.sequoialink.decision.routing.LoadAwareServerPolicy;
import io.sequoialink.decision.routing.OutlierParameters;
import io.sequoialink.decision.routing.RoutingParameters;
import io.sequoialink.model.HostId;

/**
 * The policies of one host. Immutable; each policy is thread-safe.
 *
 * @param cascade chooses versions
 * @param rollout places and judges candidates
 * @param servers chooses backend servers
 * @param outliers when servers that fail are held back
 * @param retry decides on failed attempts
 * @param admission admits requests
 * @param crash contains requests that crash servers
 */
public record HostPolicies(CascadePolicy cascade, RolloutPolicy rollout, ServerPolicy servers,
		OutlierParameters outliers, RetryPolicy retry, FleetAdmissionPolicy admission, CrashGuard crash) {

	/**
	 * Builds the policies from their parameters.
	 */
	@FunctionalInterface
	public interface Factory {

		/** The default policies with default parameters. */
		Factory DEFAULT = (host, incarnation, members, capacity) -> new HostPolicies(
				new AdaptiveCascadePolicy(CascadeParameters.DEFAULT),
				new SharedRolloutPolicy(host, incarnation, members, RolloutSettings.defaults()),
				new LoadAwareServerPolicy(RoutingParameters.DEFAULT), OutlierParameters.DEFAULT,
				new BudgetedRetryPolicy(RetrySettings.defaults()),
				new FleetAdmissionPolicy(host, members, capacity, LimitSettings.defaults()), CrashGuard.NONE);

		/**
		 * Builds the policies of one host.
		 * @param host the host
		 * @param incarnation start of its process, epoch milliseconds
		 * @param members the live hosts, this one among them
		 * @param capacity requests that all backend servers can run at one time
		 * @return the policies
		 */
		HostPolicies create(HostId host, long incarnation, Supplier<List<HostId>> members, DoubleSupplier capacity);

	}

}
