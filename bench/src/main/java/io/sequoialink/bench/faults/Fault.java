package io.sequoialink.bench.faults;

import java.util.List;
import java.util.Random;

import io.sequoialink.bench.live.LiveFleet;
import io.sequoialink.daemon.host.EntryHost;
import io.sequoialink.standin.EngineFault;
import io.sequoialink.standin.StandinEngine;

/**
 * A fault of the running fleet's surroundings. Stateless.
 */
enum Fault {

	/**
	 * All hosts and engines of one availability zone are lost at once; hosts are
	 * replaced.
	 */
	ZONE_LOST {

		@Override
		void begin(LiveFleet fleet) throws Exception {
			List<EntryHost> hosts = fleet.hosts();
			String zone = hosts.get(hosts.size() - 1).identity().zone();
			for (EntryHost host : hosts) {
				if (host.identity().zone().equals(zone) && fleet.hosts().size() > 1) {
					fleet.kill(host);
				}
			}
			fleet.standins()
				.engines()
				.values()
				.stream()
				.filter((engine) -> engine.directoryEntry().zone().equals(zone))
				.forEach(StandinEngine::stop);
		}

		@Override
		void end(LiveFleet fleet) throws Exception {
			for (StandinEngine engine : fleet.standins().engines().values()) {
				engine.start();
			}
			fleet.addHost();
		}

	},

	/** The log refuses every call and loses answers before that. */
	LOG_DOWN {

		@Override
		void begin(LiveFleet fleet) {
			fleet.standins().log().dropResponses(3);
			fleet.standins().log().setUnavailable(true);
		}

		@Override
		void end(LiveFleet fleet) {
			fleet.standins().log().setUnavailable(false);
		}

	},

	/** Every second engine takes several times as long. */
	CAPACITY_LOST {

		@Override
		void begin(LiveFleet fleet) {
			set(fleet, EngineFault.SLOW, 1);
		}

		@Override
		void end(LiveFleet fleet) {
			set(fleet, EngineFault.SLOW, 0);
		}

	},

	/** Every second engine cuts, truncates and mixes answers. */
	ENGINES_FAULTY {

		@Override
		void begin(LiveFleet fleet) {
			set(fleet, EngineFault.CUT, 0.2);
			set(fleet, EngineFault.TRUNCATE, 0.2);
			set(fleet, EngineFault.FOREIGN, 0.2);
		}

		@Override
		void end(LiveFleet fleet) {
			set(fleet, EngineFault.CUT, 0);
			set(fleet, EngineFault.TRUNCATE, 0);
			set(fleet, EngineFault.FOREIGN, 0);
		}

	},

	/** The cheapest version fails half of its runs. */
	VERSION_BAD {

		@Override
		void begin(LiveFleet fleet) {
			fail(fleet, 0.5);
		}

		@Override
		void end(LiveFleet fleet) {
			fail(fleet, 0);
		}

		private void fail(LiveFleet fleet, double share) {
			String cheapest = fleet.standins().outcomes().table().versions().get(0).id();
			fleet.standins().engines().values().forEach((engine) -> engine.setFailureShare(cheapest, share));
		}

	};

	abstract void begin(LiveFleet fleet) throws Exception;

	abstract void end(LiveFleet fleet) throws Exception;

	private static void set(LiveFleet fleet, EngineFault fault, double share) {
		int number = 0;
		for (StandinEngine engine : fleet.standins().engines().values()) {
			if (number++ % 2 == 0) {
				engine.setFaultShare(fault, share);
			}
		}
	}

	/**
	 * Draws two different faults.
	 * @param seed the seed
	 * @return the faults
	 */
	static List<Fault> two(long seed) {
		Random random = new Random(seed);
		Fault first = values()[random.nextInt(values().length)];
		Fault second = values()[(first.ordinal() + 1 + random.nextInt(values().length - 1)) % values().length];
		return List.of(first, second);
	}

}
