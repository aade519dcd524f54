package io.sequoialink.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import io.sequoialink.soak.ServerPaths;
import io.sequoialink.soak.SimulatedStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs three complete entry hosts on loopback in front of four backend servers. Some
 * hosts lose their paths to all servers, while clients, the store and the other hosts
 * reach them.
 */
class CutOffHostTests {

	private static final int HOSTS = 3;

	private static final int SERVERS = 4;

	/** The platform's bound holds from this long after the paths were cut. */
	private static final long STABLE_MILLIS = 3000;

	private static final int REQUESTS = 45;

	private static final long PAUSE_MILLIS = 40;

	/** The platform's bound: share of the other hosts' that a cut-off host must serve. */
	private static final double MIN_SERVED_SHARE = 2.0 / 3;

	/** Most of the time for which a request may be held that nobody can serve. */
	private static final long MOST_REJECTION_MILLIS = 150;

	/** Time after the paths' return in which all hosts serve directly again. */
	private static final long RETURN_MILLIS = 2500;

	private final List<LoopbackBackend> backends = new ArrayList<>();

	private final List<ServerPaths> paths = new ArrayList<>();

	private final List<LoopbackHost> hosts = new ArrayList<>();

	private SimulatedStore store;

	@BeforeEach
	void start() throws Exception {
		this.store = new SimulatedStore();
		this.store.put("op", "config", "{\"version\":1,\"routes\":[" + route("safe", "idempotent") + ","
				+ route("once", "non_idempotent") + "],\"services\":[{\"name\":\"svc\",\"health_path\":\"/h\"}]}");
		for (int number = 1; number <= SERVERS; number++) {
			this.backends.add(LoopbackBackend.start("i-" + number, this.store, LoopbackBackend::answer));
		}
		for (int number = 1; number <= HOSTS; number++) {
			ServerPaths own = new ServerPaths(InetAddress.getByName("127.0.0." + (10 + number)));
			this.paths.add(own);
			this.hosts.add(LoopbackHost.start("h" + number, this.store, own::address));
		}
		Await.within(20_000, () -> this.hosts.stream().allMatch(LoopbackHost::ready));
	}

	private static String route(String name, String kind) {
		return "{\"name\":\"" + name + "\",\"host\":\"localhost\",\"path_prefix\":\"/" + name + "/\",\"kind\":\"" + kind
				+ "\",\"timeout_ms\":1000,\"max_attempts\":2,\"service\":\"svc\"}";
	}

	@AfterEach
	void stop() throws IOException {
		this.hosts.forEach((host) -> host.host().stop());
		this.backends.forEach(LoopbackBackend::close);
		for (ServerPaths own : this.paths) {
			own.close();
		}
		this.store.close();
	}

	// Guards against the incident RECOVER: hosts that had lost their paths to all servers
	// served nothing, although the hosts beside them reached the servers.
	@ParameterizedTest
	@EnumSource(names = "NONE", mode = EnumSource.Mode.EXCLUDE)
	void aHostCutOffFromAllServersServesNearlyAsOftenAsTheOthers(ServerPaths.Cut cut) throws Exception {
		sendToAll(5);
		this.paths.get(0).setCut(cut);
		sendToAll(12);
		Thread.sleep(STABLE_MILLIS - 1500);
		List<List<Integer>> served = sendToAll(REQUESTS);
		assertThat(share(served.get(0))).as("cut-off host: %s", served.get(0))
			.isGreaterThanOrEqualTo(MIN_SERVED_SHARE * share(served.get(1)));
		assertThat(failed(served.get(0))).as("first tries that failed").isLessThanOrEqualTo(allowedFailures(served));
	}

	// Fewer than half of the hosts reach servers, so the platform uses those that are not
	// ready as well.
	@Test
	void twoOfThreeHostsCutOffServeNearlyAsOftenAsTheThird() throws Exception {
		sendToAll(5);
		this.paths.get(0).setCut(ServerPaths.Cut.SILENT);
		this.paths.get(1).setCut(ServerPaths.Cut.RESET);
		sendToAll(12);
		Thread.sleep(STABLE_MILLIS - 1500);
		List<List<Integer>> served = sendToAll(REQUESTS);
		assertThat(share(served.get(0))).isGreaterThanOrEqualTo(MIN_SERVED_SHARE * share(served.get(2)));
		assertThat(share(served.get(1))).isGreaterThanOrEqualTo(MIN_SERVED_SHARE * share(served.get(2)));
	}

	// Guards against hosts that hold requests, pass them to and fro, or don't find out
	// that
	// their paths are whole again, when no host reaches any server.
	@ParameterizedTest
	@EnumSource(names = { "SILENT", "RESET" })
	void whenAllHostsAreCutOffTheyRejectAtOnceAndServeAgainAfterTheReturn(ServerPaths.Cut cut) throws Exception {
		sendToAll(5);
		for (ServerPaths own : this.paths) {
			own.setCut(cut);
		}
		sendToAll(12);
		long began = System.nanoTime();
		List<List<Integer>> rejected = sendToAll(10);
		assertThat(rejected).allSatisfy((statuses) -> assertThat(statuses).containsOnly(503));
		assertThat((System.nanoTime() - began) / 1_000_000).as("time of ten requests one after the other")
			.isLessThan(10 * (PAUSE_MILLIS + MOST_REJECTION_MILLIS));
		for (ServerPaths own : this.paths) {
			own.setCut(ServerPaths.Cut.NONE);
		}
		Await.within(RETURN_MILLIS, () -> servedByAll() && this.hosts.stream().allMatch(CutOffHostTests::direct));
		assertThat(sendToAll(10)).allSatisfy((statuses) -> assertThat(statuses).containsOnly(200));
	}

	private boolean servedByAll() {
		try {
			return sendToAll(2).stream().allMatch((statuses) -> statuses.equals(List.of(200, 200)));
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static boolean direct(LoopbackHost host) {
		return host.metrics().contains("sequoialink_paths_suspected 0.0");
	}

	private static int allowedFailures(List<List<Integer>> served) {
		return 10 + served.stream().mapToInt(List::size).sum() / 50;
	}

	private static double share(List<Integer> statuses) {
		return 1 - (double) failed(statuses) / statuses.size();
	}

	private static int failed(List<Integer> statuses) {
		return (int) statuses.stream().filter((status) -> status != 200).count();
	}

	// Sends requests to each host at the same time, half of them to a route that must not
	// be repeated.
	private List<List<Integer>> sendToAll(int requests) throws InterruptedException {
		List<List<Integer>> statuses = new ArrayList<>();
		List<Thread> clients = new ArrayList<>();
		for (LoopbackHost host : this.hosts) {
			List<Integer> ofHost = Collections.synchronizedList(new ArrayList<>());
			statuses.add(ofHost);
			Thread client = new Thread(() -> send(host, requests, ofHost), "client");
			client.start();
			clients.add(client);
		}
		for (Thread client : clients) {
			client.join();
		}
		return statuses;
	}

	private static void send(LoopbackHost host, int requests, List<Integer> statuses) {
		try {
			for (int i = 0; i < requests; i++) {
				statuses.add(host.get((i % 2 == 0) ? "/safe/x" : "/once/x"));
				Thread.sleep(PAUSE_MILLIS);
			}
		}
		catch (IOException | InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
