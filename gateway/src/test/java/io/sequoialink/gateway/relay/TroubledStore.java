package io.sequoialink.gateway.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Writes configurations and servers' records to the store of a simulated fleet, and draws
 * troubles of the store, the hosts and their links by a seed: pages, a history that is
 * dropped, returns from older copies, silence, starts, freezes, cuts and lost datagrams.
 * Confined to one thread.
 */
final class TroubledStore {

	static final String CONFIGURATION = "config";

	/** Time between two records of a server that is alive. */
	private static final long HEARTBEAT_MILLIS = 1200;

	/** Time after which the platform deletes the record of a server that is silent. */
	private static final long EXPIRY_MILLIS = 3 * HEARTBEAT_MILLIS;

	/** Time in which the operator and the servers write again after a return. */
	private static final int WRITE_AGAIN_MILLIS = 1500;

	private final ForwardingFleet fleet;

	private final SplittableRandom random;

	private final Map<String, String> alive = new TreeMap<>();

	private long version;

	private int lastServer;

	TroubledStore(ForwardingFleet fleet, long seed) {
		this.fleet = fleet;
		this.random = new SplittableRandom(seed);
		changeConfiguration();
		for (int i = 0; i < 5; i++) {
			addServer();
		}
	}

	long version() {
		return this.version;
	}

	/** Returns the records of the servers that are alive, by their names. */
	Map<String, String> alive() {
		return this.alive;
	}

	void changeConfiguration() {
		this.version += 1 + this.random.nextInt(5);
		writeConfiguration();
	}

	private void writeConfiguration() {
		this.fleet.put(ForwardingFleet.OPERATOR, CONFIGURATION, String.valueOf(this.version));
	}

	void addServer() {
		this.lastServer++;
		String name = "server-" + this.lastServer;
		this.alive.put(name, "ready");
		beat(name);
	}

	private void beat(String name) {
		String value = this.alive.get(name);
		if (value != null) {
			this.fleet.put(ForwardingFleet.SERVERS, name, value);
			this.fleet.later(HEARTBEAT_MILLIS, () -> beat(name));
		}
	}

	private List<String> readyServers() {
		return this.alive.keySet().stream().filter((name) -> this.alive.get(name).equals("ready")).toList();
	}

	private String anyServer() {
		List<String> names = readyServers();
		return names.get(this.random.nextInt(names.size()));
	}

	/** A server leaves, and its record is deleted. */
	void removeServer() {
		String name = anyServer();
		this.alive.remove(name);
		this.fleet.put(ForwardingFleet.SERVERS, name, "");
	}

	private void drainServer() {
		String name = anyServer();
		this.alive.put(name, "draining");
		this.fleet.put(ForwardingFleet.SERVERS, name, "draining");
		this.fleet.later(2000, () -> {
			if (this.alive.remove(name) != null) {
				this.fleet.put(ForwardingFleet.SERVERS, name, "");
			}
		});
	}

	private void crashServer() {
		this.alive.remove(anyServer());
		this.fleet.later(EXPIRY_MILLIS, this::deleteSilent);
	}

	private void deleteSilent() {
		this.fleet.stored(ForwardingFleet.SERVERS)
			.keySet()
			.stream()
			.filter((name) -> !this.alive.containsKey(name))
			.forEach((name) -> this.fleet.put(ForwardingFleet.SERVERS, name, ""));
	}

	private void returnFromCopy() {
		this.fleet.returnFromCopy(this.random.nextInt(8), this.random.nextInt(40));
		this.fleet.later(this.random.nextInt(WRITE_AGAIN_MILLIS), this::writeConfiguration);
		this.fleet.later(this.random.nextInt(WRITE_AGAIN_MILLIS),
				() -> this.alive.forEach((name, value) -> this.fleet.put(ForwardingFleet.SERVERS, name, value)));
		this.fleet.later(EXPIRY_MILLIS, this::deleteSilent);
	}

	private String anyHost() {
		List<String> names = this.fleet.hostNames();
		return names.get(this.random.nextInt(names.size()));
	}

	/**
	 * Makes the last changes while the host that reads for all, and a few others, start
	 * and read many pages, and while others are frozen or cut off. The changes fall
	 * between the pages.
	 * @return the hosts that are disturbed
	 */
	List<String> lastChangesWhileHostsStart() {
		this.fleet.pageSize(1);
		List<String> disturbed = new ArrayList<>(List.of(this.fleet.hostNames().get(0)));
		for (int i = 0; i < 3; i++) {
			disturbed.add(anyHost());
		}
		this.fleet.freeze(disturbed.get(1), 1500);
		cut(disturbed.get(2), 1500);
		disturbed.stream().distinct().filter((host) -> !host.equals(disturbed.get(1))).forEach(this.fleet::restart);
		this.fleet.run(ForwardingFleet.START_MILLIS + this.random.nextInt(40));
		changeConfiguration();
		removeServer();
		addServer();
		return disturbed;
	}

	/** Draws one change or trouble. */
	void step() {
		long millis = 200 + this.random.nextInt(2800);
		String host = anyHost();
		switch (this.random.nextInt(14)) {
			case 0, 1, 2 -> changeConfiguration();
			case 3 -> addServer();
			case 4 -> ifServersLeft(this::removeServer);
			case 5 -> ifServersLeft(this::drainServer);
			case 6 -> ifServersLeft(this::crashServer);
			case 7 ->
				this.fleet.compact(this.random.nextBoolean() ? ForwardingFleet.OPERATOR : ForwardingFleet.SERVERS);
			case 8 -> returnFromCopy();
			case 9 -> this.fleet.restart(host);
			case 10 -> this.fleet.freeze(host, millis);
			case 11 -> cut(host, millis);
			case 12 -> silence(millis);
			default -> {
				this.fleet.loseDatagrams(this.random.nextInt(3) * 0.3);
				this.fleet.pageSize(1 + this.random.nextInt(4));
			}
		}
	}

	private void ifServersLeft(Runnable trouble) {
		if (readyServers().size() > 2) {
			trouble.run();
		}
	}

	private void cut(String host, long millis) {
		this.fleet.disconnectFromStore(host);
		this.fleet.later(millis, () -> this.fleet.reconnectToStore(host));
	}

	private void silence(long millis) {
		this.fleet.silence(true);
		this.fleet.later(millis, () -> this.fleet.silence(false));
	}

}
