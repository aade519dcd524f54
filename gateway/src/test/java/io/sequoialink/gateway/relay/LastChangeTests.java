package io.sequoialink.gateway.relay;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import io.sequoialink.gateway.feed.FleetViewUpdater;
import io.sequoialink.gateway.feed.KeyedRecord;
import io.sequoialink.gateway.feed.ReadPath;
import io.sequoialink.gateway.feed.RecordSink;
import io.sequoialink.gateway.fleet.ClientLimits;
import io.sequoialink.gateway.fleet.Configuration;
import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.fleet.ServerEntry;
import io.sequoialink.gateway.place.EvacuatedZones;
import io.sequoialink.gateway.rollout.RolloutCoordinator;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks in simulated time that all hosts have the last changes before a calm, whatever
 * happened before. What a host has missed for good is hidden by the next change of the
 * same key, so only the last one shows it.
 */
class LastChangeTests {

	private static final int STEPS = 40;

	/**
	 * Time in which the troubles end: the longest lasts 3 s, and a server that the store
	 * has lost writes again, or is deleted, within 4 s.
	 */
	private static final long SETTLE_MILLIS = 8000;

	// Guards against the incident CONFIG (a change that is not in force) with hosts of
	// different pasts: started, frozen or cut off while the store paged, dropped its
	// history, was silent or returned from older copies. At the last changes some hosts
	// start and read pages; they and the frozen and cut off ones have more time.
	@ParameterizedTest
	@CsvSource({ "6, 1, 150", "95, 5001, 20", "330, 6001, 3" })
	void allHostsHaveTheLastChangesBeforeACalm(int hosts, long firstSeed, int seeds) {
		for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
			play(hosts, seed);
		}
	}

	private static void play(int hosts, long seed) {
		ForwardingFleet fleet = new ForwardingFleet(hosts, 4, seed, ViewSink::new);
		TroubledStore store = new TroubledStore(fleet, seed);
		SplittableRandom pauses = new SplittableRandom(seed + 1);
		run(fleet, 3000);
		for (int step = 0; step < STEPS; step++) {
			store.step();
			run(fleet, 50 + pauses.nextInt(800));
		}
		fleet.loseDatagrams(0);
		run(fleet, SETTLE_MILLIS);
		List<String> disturbed = store.lastChangesWhileHostsStart();
		run(fleet, ForwardingFleet.MAX_DELAY_MILLIS);
		check(fleet, store, seed, (name) -> !disturbed.contains(name));
		run(fleet, SETTLE_MILLIS);
		check(fleet, store, seed, (name) -> true);
		assertThat(fleet.healthySinks()).hasSize(hosts);
	}

	private static void check(ForwardingFleet fleet, TroubledStore store, long seed, Predicate<String> included) {
		fleet.healthySinks().forEach((name, sink) -> {
			if (!included.test(name)) {
				return;
			}
			ViewSink host = (ViewSink) sink;
			assertThat(host.version()).as("configuration of %s, seed %s", name, seed).isEqualTo(store.version());
			assertThat(host.servers()).as("servers of %s, seed %s", name, seed).isEqualTo(store.alive());
		});
	}

	private static void run(ForwardingFleet fleet, long millis) {
		for (long passed = 0; passed < millis; passed += 100) {
			fleet.run(Math.min(100, millis - passed));
			fleet.healthySinks().values().forEach((sink) -> ((ViewSink) sink).updates.removeExpired());
		}
	}

	/**
	 * Applies configurations, whose records hold their version, and servers, whose
	 * records hold their state, to the view of a host.
	 */
	private static final class ViewSink implements RecordSink {

		private final FleetView view = new FleetView();

		private final FleetViewUpdater updates;

		private ViewSink(LongSupplier clock) {
			RolloutCoordinator rollouts = new RolloutCoordinator("h", new RolloutCoordinator.Options(0.1, 0), null,
					clock, new SplittableRandom(1));
			this.updates = new FleetViewUpdater(this.view, new EvacuatedZones(), rollouts, () -> {
			}, () -> {
			}, clock);
		}

		private long version() {
			return this.view.configuration().map(Configuration::version).orElse(-1L);
		}

		private Map<String, String> servers() {
			Map<String, String> known = new TreeMap<>();
			this.view.servers().forEach((server) -> known.put(server.id(), server.draining() ? "draining" : "ready"));
			return known;
		}

		@Override
		public boolean accept(KeyedRecord record, ReadPath path) {
			String value = new String(record.value(), StandardCharsets.UTF_8);
			if (record.key().equals(TroubledStore.CONFIGURATION) && record.deleted()) {
				return true;
			}
			if (record.key().equals(TroubledStore.CONFIGURATION)) {
				this.updates.configuration(new Configuration(value.equals("first") ? 0 : Long.parseLong(value),
						List.of(), List.of(), List.of(), ClientLimits.INITIAL), record.position(), path);
				return true;
			}
			if (record.deleted()) {
				this.updates.deregistered(record.key());
				return true;
			}
			ServerEntry entry = new ServerEntry(record.key(), "s", new InetSocketAddress("127.0.0.1", 1), "z", "v1", 1,
					value.equals("draining"), 0, 7);
			return (path == ReadPath.RETURNED_COPY) ? this.updates.registeredInCopy(entry)
					: this.updates.registered(entry);
		}

		@Override
		public void caughtUp(long end) {
			// the test checks the view only
		}

		@Override
		public void storeRecovered() {
			this.updates.outageEnded();
		}

		@Override
		public void storeReturned() {
			this.updates.outageEnded();
		}

	}

}
