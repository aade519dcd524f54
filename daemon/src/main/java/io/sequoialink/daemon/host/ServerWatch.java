package io.sequoialink.daemon.host;

import java.util.Comparator;
import java.util.List;

import io.sequoialink.model.BackendServer;
import io.sequoialink.model.HostId;
import io.sequoialink.model.ServerKind;
import io.sequoialink.remote.BackendException;
import io.sequoialink.remote.EngineClient;
import io.sequoialink.remote.HostDirectory;
import io.sequoialink.remote.PlatformException;
import io.sequoialink.router.ServerTable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the table of backend servers current: reads the platform's list and the load
 * reports of a bounded subset of the engines, chosen by rendezvous hashing with the own
 * availability zone first, so that a host's work does not grow with the fleet. Confined
 * to the duty that calls it.
 */
final class ServerWatch {

	/** The most engines whose load one host reads. */
	static final int WATCHED_ENGINES = 24;

	private static final Logger LOG = LoggerFactory.getLogger(ServerWatch.class);

	private final HostId host;

	private final String zone;

	private final HostDirectory directory;

	private final EngineClient engines;

	private final ServerTable table;

	ServerWatch(HostId host, String zone, HostDirectory directory, EngineClient engines, ServerTable table) {
		this.host = host;
		this.zone = zone;
		this.directory = directory;
		this.engines = engines;
		this.table = table;
	}

	void readDirectory() {
		try {
			this.table.replaceServers(this.directory.list());
		}
		catch (PlatformException ex) {
			LOG.warn(HostEvents.DIRECTORY_UNREADABLE, ex.getMessage());
		}
	}

	void readLoads() {
		for (BackendServer server : watched()) {
			try {
				this.table.recordLoad(this.engines.load(server));
			}
			catch (BackendException ex) {
				// the report ages, which the routing policy discounts
			}
		}
	}

	List<BackendServer> watched() {
		return this.table.servers()
			.stream()
			.filter((server) -> server.kind() == ServerKind.ENGINE && !server.leaving())
			.sorted(Comparator.comparing((BackendServer server) -> !server.zone().equals(this.zone))
				.thenComparing((server) -> weight(server)))
			.limit(WATCHED_ENGINES)
			.toList();
	}

	private int weight(BackendServer server) {
		int hash = (this.host.value() + '/' + server.id().value()).hashCode() * 0x9E3779B9;
		return hash ^ (hash >>> 16);
	}

}
