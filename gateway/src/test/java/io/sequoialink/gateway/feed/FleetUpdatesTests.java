package io.sequoialink.gateway.feed;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.sequoialink.gateway.fleet.ClientLimits;
import io.sequoialink.gateway.fleet.Configuration;
import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.fleet.Found;
import io.sequoialink.gateway.fleet.RolloutOrder;
import io.sequoialink.gateway.fleet.ServerEntry;
import io.sequoialink.gateway.rollout.RolloutWatch;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FleetUpdatesTests {

	private final FleetView view = new FleetView();

	private long now = TimeUnit.SECONDS.toNanos(100);

	private int completions;

	private final RolloutWatch rollouts = new RolloutWatch("h", new RolloutWatch.Options(0.1, 0), null, () -> this.now,
			new SplittableRandom(1));

	private final FleetUpdates updates = new FleetUpdates(this.view, this.rollouts, () -> {
	}, () -> this.completions++, () -> this.now);

	@Test
	void aDeregisteredServerIsRemovedAtOnce() {
		this.updates.server(entry("a"));
		this.updates.serverGone("a");
		assertThat(this.view.server("a")).isEmpty();
	}

	@Test
	void aServerWhoseRegistrationExpiredInAnOutageIsKeptForTheGraceTime() {
		this.updates.server(entry("a"));
		this.updates.server(entry("b"));
		this.updates.outageEnded();
		this.updates.serverGone("a");
		this.updates.serverGone("b");
		assertThat(this.view.servers()).hasSize(2);
		this.now += TimeUnit.MILLISECONDS.toNanos(1000);
		this.updates.server(entry("a"));
		this.updates.sweep();
		assertThat(this.view.servers()).hasSize(2);
		this.now += TimeUnit.MILLISECONDS.toNanos(1000);
		this.updates.sweep();
		assertThat(this.view.server("a")).isPresent();
		assertThat(this.view.server("b")).isEmpty();
	}

	@Test
	void completionIsReportedOnceAfterEverythingWasRead() {
		this.updates.configuration(new Configuration(1, List.of(), List.of(), List.of(), ClientLimits.INITIAL), 0);
		this.updates.operatorRead();
		assertThat(this.updates.complete()).isFalse();
		this.updates.serversRead();
		this.updates.serversRead();
		assertThat(this.updates.complete()).isTrue();
		assertThat(this.completions).isEqualTo(1);
	}

	@Test
	void theViewIsIncompleteUntilTheStateOfAnOrderedRollOutIsRead() {
		this.updates.order(new Found<>(new RolloutOrder("s", "v2", 1000), 0));
		this.updates.configuration(new Configuration(1, List.of(), List.of(), List.of(), ClientLimits.INITIAL), 1);
		this.updates.operatorRead();
		this.updates.serversRead();
		assertThat(this.updates.complete()).isFalse();
		this.updates.statusesRead(0);
		assertThat(this.updates.complete()).isTrue();
	}

	private static ServerEntry entry(String id) {
		return new ServerEntry(id, "s", new InetSocketAddress("127.0.0.1", 1), "z", "v1", 1, false, 0, 0);
	}

}
