package io.sequoialink.gateway.http;

import java.util.function.LongSupplier;

import io.sequoialink.decision.retry.RepeatBudget;
import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.place.ServerChoice;
import io.sequoialink.gateway.place.ServerTable;

/**
 * What all exchanges of a host share. Confined to the event loop.
 *
 * @param view what the host believes about the fleet
 * @param servers states of the backend servers
 * @param choice choice among the servers
 * @param pool connections to them
 * @param dialect names of headers
 * @param budget budget of repeats
 * @param clock monotonic time in nanoseconds
 */
public record Gateway(FleetView view, ServerTable servers, ServerChoice choice, BackendPool pool, WireDialect dialect,
		RepeatBudget budget, LongSupplier clock) {
}
