package io.sequoialink.daemon.host;

import io.sequoialink.daemon.settings.PolicySettings;
import io.sequoialink.decision.CascadePolicy;
import io.sequoialink.decision.CrashGuard;
import io.sequoialink.decision.RetryPolicy;
import io.sequoialink.decision.RolloutPolicy;
import io.sequoialink.decision.ServerPolicy;
import io.sequoialink.decision.cascade.AdaptiveCascadePolicy;
import io.sequoialink.decision.cascade.CascadeParameters;
import io.sequoialink.decision.crash.CrashSettings;
import io.sequoialink.decision.crash.FingerprintCrashGuard;
import io.sequoialink.decision.limits.FleetAdmissionPolicy;
import io.sequoialink.decision.limits.LimitSettings;
import io.sequoialink.decision.retry.BudgetedRetryPolicy;
import io.sequoialink.decision.retry.RetrySettings;
import io.sequoialink.decision.rollout.RolloutSettings;
import io.sequoialink.decision.rollout.SharedRolloutPolicy;
import io.sequoialink.decision.routing.LoadAwareServerPolicy;
import io.sequoialink.decision.routing.OutlierParameters;
import io.sequoialink.decision.routing.RoutingParameters;

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

	/** The default policies with default parameters. */
	public static final Factory DEFAULT = (inputs) -> of(inputs,
			new PolicySettings(CascadeParameters.DEFAULT, RolloutSettings.defaults(), RoutingParameters.DEFAULT,
					OutlierParameters.DEFAULT, LimitSettings.defaults(), RetrySettings.defaults()));

	/**
	 * Builds the policies of one host from their parameters. Each host tries the requests
	 * that it suspects itself, so that none is refused for want of a hand-over.
	 * @param inputs what they may ask of the host
	 * @param settings the parameters
	 * @return the policies
	 */
	public static HostPolicies of(PolicyInputs inputs, PolicySettings settings) {
		return new HostPolicies(new AdaptiveCascadePolicy(settings.cascade()),
				new SharedRolloutPolicy(inputs.host(), inputs.incarnation(), inputs.members(), settings.rollout()),
				new LoadAwareServerPolicy(settings.routing()), settings.outliers(),
				new BudgetedRetryPolicy(settings.retry()),
				new FleetAdmissionPolicy(inputs.host(), inputs.members(), inputs.capacity(), settings.limits()),
				new FingerprintCrashGuard(inputs.host(), (fingerprint) -> true, inputs.revision(),
						CrashSettings.defaults()));
	}

	/**
	 * Builds the policies of one host.
	 */
	@FunctionalInterface
	public interface Factory {

		/**
		 * Builds the policies.
		 * @param inputs what they may ask of the host
		 * @return the policies
		 */
		HostPolicies create(PolicyInputs inputs);

	}

}
