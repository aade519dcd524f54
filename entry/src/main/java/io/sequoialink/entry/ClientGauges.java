package io.sequoialink.entry;

import java.util.List;

import io.sequoialink.gateway.http.ConnectionMemory;
import io.sequoialink.gateway.http.FrontendServer;

/**
 * Gauges of what a host holds for its clients and of the limits on it. The list is
 * immutable; its gauges are evaluated on the event loop.
 *
 * @param memory memory of all connections
 * @param clients connections of clients
 */
record ClientGauges(ConnectionMemory memory, FrontendServer clients) {

	List<MetricsPage.Gauge> list() {
		return List.of(
				new MetricsPage.Gauge("sequoialink_connection_memory_bytes",
						"Bytes held for requests and responses of all connections", this.memory::bytes),
				new MetricsPage.Gauge("sequoialink_connection_memory_limit_bytes",
						"Maximum of the bytes held for all connections", this.memory::limit),
				new MetricsPage.Gauge("sequoialink_connections_closed_for_memory",
						"Connections closed since the start to make room in memory", this.memory::closedConnections),
				new MetricsPage.Gauge("sequoialink_requests_rejected_for_memory",
						"Requests rejected since the start because there was no room in memory",
						this.memory::rejectedRequests),
				new MetricsPage.Gauge("sequoialink_client_connections_limit", "Maximum of open connections of clients",
						this.clients::maxConnections),
				new MetricsPage.Gauge("sequoialink_client_connections_replaced",
						"Connections of clients closed since the start because there were too many",
						this.clients::connectionsClosedForOthers));
	}

}
