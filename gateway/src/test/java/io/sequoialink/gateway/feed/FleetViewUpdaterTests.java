package io.sequoialink.gateway.feed;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.sequoialink.gateway.fleet.ClientLimits;
import io.sequoialink.gateway.fleet.Configuration;
import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.fleet.PositionedValue;
import io.sequoialink.gateway.fleet.RolloutOrder;
import io.sequoialink.gateway.fleet.ServerEntry;
import io.sequoialink.gateway.fleet.StorePosition;
import io.sequoialink.gateway.place.EvacuatedZones;
import io.sequoialink.gateway.rollout.RolloutCoordinator;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FleetViewUpdaterTests {

	private final FleetView view = new FleetView();

	private long now = TimeUnit.SECONDS.toNanos(100);

	private int completions;

	private final RolloutCoordinator rollouts = new RolloutCoordinator("h", new RolloutCoordinator.Options(0.1, 0),
			null, () -> this.now, new SplittableRandom(1));

	private final FleetViewUpdater updates = new FleetViewUpdater(this.view, new EvacuatedZones(), this.rollouts,
			() -> {
			}, () -> this.completions++, () -> this.now);

	@Test
	void aDeregisteredServerIsRemovedAtOnce() {
		this.updates.registered(entry("a"));
		this.updates.deregistered("a");
		assertThat(this.view.server("a")).isEmpty();
	}

	@Test
	void aServerWhoseRegistrationExpiredInAnOutageIsKeptForTheGraceTime() {
		this.updates.registered(entry("a"));
		this.updates.registered(entry("b"));
		this.updates.outageEnded();
		this.updates.deregistered("a");
		this.updates.deregistered("b");
		assertThat(this.view.servers()).hasSize(2);
		this.now += TimeUnit.MILLISECONDS.toNanos(1000);
		this.updates.registered(entry("a"));
		this.updates.removeExpired();
		assertThat(this.view.servers()).hasSize(2);
		this.now += TimeUnit.MILLISECONDS.toNanos(1000);
		this.updates.removeExpired();
		assertThat(this.view.server("a")).isPresent();
		assertThat(this.view.server("b")).isEmpty();
	}

	@Test
	void completionIsReportedOnceAfterEverythingWasRead() {
		this.updates.configuration(new Configuration(1, List.of(), List.of(), List.of(), ClientLimits.INITIAL),
				new StorePosition(1, 0), ReadPath.POLL);
		this.updates.operatorRecordsRead();
		assertThat(this.updates.complete()).isFalse();
		this.updates.registrationsRead();
		this.updates.registrationsRead();
		assertThat(this.updates.complete()).isTrue();
		assertThat(this.completions).isEqualTo(1);
	}

	@Test
	void theViewIsIncompleteUntilTheStateOfAnOrderedRollOutIsRead() {
		this.updates.orderRead(new PositionedValue<>(new RolloutOrder("s", "v2", 1000), 0), ReadPath.POLL);
		this.updates.configuration(new Configuration(1, List.of(), List.of(), List.of(), ClientLimits.INITIAL),
				new StorePosition(1, 1), ReadPath.POLL);
		this.updates.operatorRecordsRead();
		this.updates.registrationsRead();
		assertThat(this.updates.complete()).isFalse();
		this.updates.statusesRead(0);
		assertThat(this.updates.complete()).isTrue();
	}

	// Guards against a server that comes back to life from an older copy of the store
	// (DRAIN).
	@Test
	void aServerThatHasLeftIsNotRevivedByTheCopy() {
		this.updates.registered(entry("a"));
		this.updates.deregistered("a");
		this.updates.outageEnded();
		assertThat(this.updates.registeredInCopy(entry("a"))).isFalse();
		assertThat(this.view.server("a")).isEmpty();
		this.updates.registered(entry("a"));
		assertThat(this.view.server("a")).isPresent();
	}

	// A copy is seconds old; a server may come back under its identifier later.
	@Test
	void aDepartureIsForgottenAfterSomeMinutes() {
		this.updates.registered(entry("a"));
		this.updates.deregistered("a");
		this.now += TimeUnit.SECONDS.toNanos(121);
		this.updates.outageEnded();
		assertThat(this.updates.registeredInCopy(entry("a"))).isTrue();
	}

	@Test
	void aServerThatDrainsDoesNotBecomeReadyByTheCopy() {
		this.updates.registered(entry("a"));
		this.updates.registered(entry("a", true, 0));
		assertThat(this.updates.registeredInCopy(entry("a"))).isFalse();
		assertThat(this.view.server("a").orElseThrow().draining()).isTrue();
	}

	@Test
	void aLaterProcessOfAServerThatHasLeftIsTakenFromTheCopy() {
		this.updates.registered(entry("a", true, 5));
		this.updates.deregistered("a");
		assertThat(this.updates.registeredInCopy(entry("a", false, 6))).isTrue();
		assertThat(this.view.server("a")).isPresent();
	}

	@Test
	void anOlderConfigurationDoesNotReplaceALaterOne() {
		configure(7);
		configure(4);
		assertThat(this.view.configuration().orElseThrow().version()).isEqualTo(7);
		this.now += TimeUnit.SECONDS.toNanos(3);
		configure(7);
		assertThat(this.updates.configurationAgeNanos()).isEqualTo(TimeUnit.SECONDS.toNanos(3));
	}

	private void configure(long version) {
		this.updates.configuration(new Configuration(version, List.of(), List.of(), List.of(), ClientLimits.INITIAL),
				new StorePosition(1, 0), ReadPath.RETURNED_COPY);
	}

	private static ServerEntry entry(String id, boolean draining, long startMillis) {
		return new ServerEntry(id, "s", new InetSocketAddress("127.0.0.1", 1), "z", "v1", 1, draining, 0, startMillis);
	}

	private static ServerEntry entry(String id) {
		return new ServerEntry(id, "s", new InetSocketAddress("127.0.0.1", 1), "z", "v1", 1, false, 0, 0);
	}

}
