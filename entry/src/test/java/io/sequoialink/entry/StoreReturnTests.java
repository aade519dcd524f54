package io.sequoialink.entry;

import java.util.ArrayList;
import java.util.List;

import io.sequoialink.soak.SimulatedStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs two complete entry hosts on loopback while their store returns from an older copy.
 * What is in force is read from the responses of the hosts to requests. Time limits are
 * twice those set by the platform, to allow for a busy machine.
 */
class StoreReturnTests {

	private static final long APPLY_MILLIS = 4000;

	private final List<LoopbackHost> hosts = new ArrayList<>();

	private SimulatedStore store;

	@BeforeEach
	void start() throws Exception {
		this.store = new SimulatedStore();
		for (int version = 1; version <= 5; version++) {
			configure(version);
		}
		for (int i = 1; i <= 2; i++) {
			this.hosts.add(LoopbackHost.start("h" + i, this.store));
		}
		awaitInForce(5);
	}

	@AfterEach
	void stop() {
		this.hosts.forEach((host) -> host.host().stop());
		this.store.close();
	}

	// Each version has one route of its own, so that responses tell which is in force.
	private void configure(int version) {
		this.store.put("op", "config",
				"{\"version\":" + version + ",\"routes\":[{\"name\":\"r\",\"host\":\"localhost\","
						+ "\"path_prefix\":\"/v" + version + "/\",\"kind\":\"idempotent\",\"service\":\"svc\","
						+ "\"timeout_ms\":1000,\"max_attempts\":1}],\"services\":[{\"name\":\"svc\"}]}");
	}

	// Guards against the incident CONFIG: after the store had returned from an older
	// copy,
	// a configuration that it acknowledged at an offset given out before was never in
	// force.
	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 3 })
	void aConfigurationAcknowledgedAfterTheStoreReturnedFromAnOlderCopyIsInForceInTime(int later) {
		this.store.returnFromCopyWith("op", 2);
		configure(6);
		for (int i = 0; i < later; i++) {
			this.store.put("op", "rollout/other" + i, "{\"target\":\"v2\"}");
		}
		awaitInForce(6);
	}

	// Guards against the same with the last change before a calm, after two returns in a
	// row.
	@Test
	void theLastConfigurationAfterTwoReturnsIsInForceInTime() {
		this.store.returnFromCopyWith("op", 3);
		configure(6);
		this.store.returnFromCopyWith("op", 2);
		configure(7);
		awaitInForce(7);
	}

	// Guards against an older configuration coming back with the store's copy (CONFIG).
	@Test
	void aHostDoesNotGoBackToTheConfigurationOfTheCopy() {
		this.store.returnFromCopyWith("op", 2);
		long until = System.nanoTime() + APPLY_MILLIS * 1_000_000L;
		while (System.nanoTime() - until < 0) {
			this.hosts.forEach((host) -> assertThat(inForce(host, 5)).isTrue());
			Await.sleep(100);
		}
	}

	// Guards against an older configuration coming back on a host that starts before the
	// operator has written again what the store has lost (CONFIG). With the older one,
	// a request on the path of another version gets 404.
	@Test
	void aHostThatStartsInTheGapWaitsForTheConfigurationThatTheOthersHave() throws Exception {
		awaitOtherHostsKnown();
		this.store.returnFromCopyWith("op", 2);
		LoopbackHost started = LoopbackHost.start("h3", this.store);
		this.hosts.add(started);
		long until = System.nanoTime() + 1_500_000_000L;
		while (System.nanoTime() - until < 0) {
			assertThat(started.get("/v1/x")).isEqualTo(503);
			Await.sleep(20);
		}
		configure(5);
		awaitInForce(5);
	}

	// The later version may be lost for good, so the older one is in force in the end.
	@Test
	void aHostThatStartsInTheGapTakesTheOlderConfigurationAfterAWhile() throws Exception {
		awaitOtherHostsKnown();
		this.store.returnFromCopyWith("op", 2);
		LoopbackHost started = LoopbackHost.start("h3", this.store);
		this.hosts.add(started);
		Await.within(APPLY_MILLIS, () -> inForce(started, 2));
	}

	private void awaitOtherHostsKnown() {
		Await.within(APPLY_MILLIS, () -> this.store.keys("status").containsAll(List.of("host/h1", "host/h2")));
		Await.sleep(1500);
	}

	private void awaitInForce(int version) {
		Await.within(APPLY_MILLIS, () -> this.hosts.stream().allMatch((host) -> inForce(host, version)));
	}

	// Without servers, a request on a route gets 503; without a route, 404.
	private static boolean inForce(LoopbackHost host, int version) {
		try {
			return host.get("/v" + version + "/x") == 503 && host.get("/v" + (version - 1) + "/x") == 404;
		}
		catch (java.io.IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
