package io.sequoialink.daemon.settings;

import io.sequoialink.decision.cascade.CascadeParameters;
import io.sequoialink.decision.limits.LimitSettings;
import io.sequoialink.decision.retry.RetrySettings;
import io.sequoialink.decision.rollout.RolloutSettings;
import io.sequoialink.decision.routing.OutlierParameters;
import io.sequoialink.decision.routing.RoutingParameters;

/**
 * The parameters of all policies. Immutable and thread-safe. Each group is described,
 * with units and ranges, where its policy stands.
 *
 * @param cascade start tier and escalation
 * @param rollout guard of roll-outs
 * @param routing choice of a backend server
 * @param outliers ejection of failing backend servers
 * @param limits admission
 * @param retry repetition of failed attempts
 */
public record PolicySettings(CascadeParameters cascade, RolloutSettings rollout, RoutingParameters routing,
		OutlierParameters outliers, LimitSettings limits, RetrySettings retry) {
}
