package io.sequoialink.gateway.place;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.sequoialink.decision.limits.ColdServers;
import io.sequoialink.decision.limits.PermitIssuer;
import io.sequoialink.decision.limits.ServerLimits;
import io.sequoialink.decision.observation.SharedServerNotices;
import io.sequoialink.gateway.count.LabelledCounters;
import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.fleet.ServerEntry;
import io.sequoialink.gateway.permit.FleetPermits;
import io.sequoialink.gateway.relay.Peer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Probes that all hosts together send to a server during its back-off.
 */
class FleetBackoffProbesTests {

	private static final int PROBES_PER_HOST = 2;

	private static final ServerEntry SERVER = new ServerEntry("one", "s", new InetSocketAddress("127.0.0.1", 1), "a",
			"v1", 8, false, 0, 5);

	private long now = TimeUnit.SECONDS.toNanos(100);

	// Guards against probes that grow with the fleet, where each host counts its own.
	@ParameterizedTest
	@ValueSource(ints = { 1, 6, 95, 330 })
	void onlyAFewHostsProbeAServerDuringItsBackoff(int hosts) {
		List<ServerTable> tables = new ArrayList<>();
		List<Peer> peers = new ArrayList<>();
		for (int host = 0; host < hosts; host++) {
			peers.add(new Peer("h" + host, "a", new InetSocketAddress("127.0.0.1", 1000 + host)));
		}
		peers.forEach((self) -> tables.add(table(self, peers)));
		tables.forEach((table) -> table.notices().received(SERVER, new ResponseNotice(false, OptionalLong.of(60_000))));
		int probes = 0;
		for (int second = 0; second < 59; second++) {
			for (ServerTable table : tables) {
				if (!table.usableServers("s").isEmpty()) {
					table.notices().sent(SERVER);
					probes++;
				}
			}
			this.now += TimeUnit.SECONDS.toNanos(1);
		}
		assertThat(probes).isBetween(1, PROBES_PER_HOST * Math.min(hosts, PermitIssuer.SLICES));
	}

	private ServerTable table(Peer self, List<Peer> peers) {
		FleetView view = new FleetView();
		view.put(SERVER);
		FleetPermits permits = new FleetPermits(self, () -> peers, new ServerLimits(), new ColdServers(),
				(to, datagram) -> {
				}, (task, millis) -> {
				}, new LabelledCounters("server", "outcome"), Long::toHexString, () -> this.now,
				new SplittableRandom(1));
		return new ServerTable(view,
				new ServerNoticeTable(() -> this.now, new SplittableRandom(7), permits::ownsSlice,
						ResponseNoticeListener.NONE),
				new SharedServerNotices(), new ServerLimitTable(new ServerLimits()), new EvacuatedZones(),
				new ColdServerTable(new ColdServers(), view, () -> 0));
	}

}
