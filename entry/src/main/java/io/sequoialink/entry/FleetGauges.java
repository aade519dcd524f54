package io.sequoialink.entry;

import java.util.List;
import java.util.Optional;

import io.sequoialink.decision.limits.LatencyPressure;
import io.sequoialink.decision.limits.ServerLimits;
import io.sequoialink.decision.observation.SharedServerNotices;
import io.sequoialink.gateway.crash.TraitCoordinator;
import io.sequoialink.gateway.path.ServicePaths;
import io.sequoialink.gateway.path.TunnelServer;
import io.sequoialink.gateway.permit.FleetSlots;
import io.sequoialink.gateway.place.ServerTable;
import io.sequoialink.gateway.relay.GossipBudget;

/**
 * Gauges of what a host knows of backend servers and of other hosts. The list is
 * immutable; its gauges are evaluated on the event loop.
 *
 * @param servers states of the servers
 * @param notices notices that hosts exchange
 * @param limits limits that servers name
 * @param slots slots of brittle servers
 * @param paths direct paths to servers
 * @param tunnels connections carried for other hosts
 * @param traits suspected and blocked prompt parts
 * @param gossip bytes sent to other hosts
 * @param pressure latency pressure of the engines
 */
record FleetGauges(ServerTable servers, SharedServerNotices notices, ServerLimits limits, FleetSlots slots,
		ServicePaths paths, Optional<TunnelServer> tunnels, TraitCoordinator traits, GossipBudget gossip,
		LatencyPressure pressure) {

	List<MetricsPage.Gauge> list() {
		return List.of(
				new MetricsPage.Gauge("sequoialink_servers_leaving",
						"Backend servers that said to this host that they leave", this.servers::shuttingDownCount),
				new MetricsPage.Gauge("sequoialink_servers_spared",
						"Backend servers that asked to be spared until later", this.servers::backoffCount),
				new MetricsPage.Gauge("sequoialink_zones_evacuated",
						"Availability zones whose servers get no requests, by order of the operator",
						this.servers::evacuatedZoneCount),
				new MetricsPage.Gauge("sequoialink_servers_signalled",
						"Backend servers that said to some host of late that they leave or want to be spared",
						() -> this.notices.countAvoided(System.nanoTime())),
				new MetricsPage.Gauge("sequoialink_servers_limited",
						"Backend servers known to take a limited number of requests from all hosts together",
						this.limits::count),
				new MetricsPage.Gauge("sequoialink_servers_cold",
						"Backend servers that are cold and take a limited number of requests meanwhile",
						this.servers.cold()::count),
				new MetricsPage.Gauge("sequoialink_servers_slow",
						"Backend servers at which work takes at least twice the usual time, as this host estimates",
						() -> this.servers.slowCount(System.nanoTime())),
				new MetricsPage.Gauge("sequoialink_servers_full",
						"Backend servers without memory for a request of mean size, as this host estimates",
						() -> this.servers.fullCount(System.nanoTime())),
				new MetricsPage.Gauge("sequoialink_services_brittle",
						"Services whose servers fall over if they must turn away too many requests",
						this.slots::brittleCount),
				new MetricsPage.Gauge("sequoialink_paths_suspected",
						"Services to whose servers this host connects through other hosts", this.paths::suspectedCount),
				new MetricsPage.Gauge("sequoialink_tunnels_carried",
						"Connections that this host carries for others that do not reach servers",
						() -> this.tunnels.map(TunnelServer::connections).orElse(0)),
				new MetricsPage.Gauge("sequoialink_traits_suspected",
						"Prompt parts and fingerprints suspected of crashing backend servers",
						this.traits::suspectedCount),
				new MetricsPage.Gauge("sequoialink_traits_blocked",
						"Prompt parts and fingerprints, or sets of them, whose requests are blocked",
						this.traits::blockedCount),
				new MetricsPage.Gauge("sequoialink_sighting_bytes", "Bytes sent to tell hosts of backend servers",
						this.gossip::bytesSent),
				new MetricsPage.Gauge("sequoialink_strain", "How hard pressed the engines are, from 0 to 1",
						() -> this.pressure.value()));
	}

}
