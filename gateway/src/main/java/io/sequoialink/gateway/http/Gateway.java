package io.sequoialink.gateway.http;

import java.util.function.LongSupplier;

import io.sequoialink.decision.cascade.ConfidenceCascade;
import io.sequoialink.decision.limits.Strain;
import io.sequoialink.decision.limits.WorkDensity;
import io.sequoialink.decision.retry.RepeatBudget;
import io.sequoialink.gateway.count.GatewayCounts;
import io.sequoialink.gateway.crash.CrashWatch;
import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.place.ReadingSpeed;
import io.sequoialink.gateway.place.ServerChoice;
import io.sequoialink.gateway.place.ServerTable;
import io.sequoialink.gateway.place.UsualPace;
import io.sequoialink.gateway.rollout.RolloutWatch;

/**
 * What all exchanges of a host share. Confined to the event loop.
 *
 * @param gate holds requests until the configuration is known
 * @param view what the host believes about the fleet
 * @param servers states of the backend servers
 * @param choice choice among the servers
 * @param cascade choice among models
 * @param strain how hard pressed the engines are
 * @param density how much of an engine's time requests take for their worth
 * @param rollouts choice among versions
 * @param speed how long engines take to read
 * @param pace how long answers usually take
 * @param pool connections to backend servers
 * @param dialect names of headers
 * @param budget budget of repeats
 * @param crashes keeps requests that crash servers from more of them
 * @param heldAnswers memory of answers that are held until they are whole
 * @param counts what the host has done
 * @param clock monotonic time in nanoseconds
 */
public record Gateway(StartGate gate, FleetView view, ServerTable servers, ServerChoice choice,
		ConfidenceCascade cascade, Strain strain, WorkDensity density, RolloutWatch rollouts, ReadingSpeed speed,
		UsualPace pace, BackendPool pool, WireDialect dialect, RepeatBudget budget, CrashWatch crashes,
		HeldAnswers heldAnswers, GatewayCounts counts, LongSupplier clock) {
}
