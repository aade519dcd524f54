package io.sequoialink.entry;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import io.sequoialink.soak.SimulatedStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Complete entry hosts on loopback and a backend server in the only zone, which the
 * operator evacuates.
 */
class EvacuatedZoneTests {

	private static final long EVACUATION_MILLIS = 5000;

	private static final String KEY = "evacuate/a";

	private final List<LoopbackHost> hosts = new ArrayList<>();

	private final AtomicInteger requests = new AtomicInteger();

	private final SimulatedStore store;

	private LoopbackBackend backend;

	EvacuatedZoneTests() throws IOException {
		this.store = new SimulatedStore();
	}

	@BeforeEach
	void start() throws Exception {
		this.store.put("op", "config",
				"{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"localhost\","
						+ "\"path_prefix\":\"/\",\"kind\":\"idempotent\",\"service\":\"svc\",\"timeout_ms\":1000,"
						+ "\"max_attempts\":2}],\"services\":[{\"name\":\"svc\"}]}");
		this.backend = LoopbackBackend.start("i-1", this.store, (exchange) -> {
			this.requests.incrementAndGet();
			LoopbackBackend.answer(exchange);
		});
	}

	@AfterEach
	void stop() {
		this.hosts.forEach((host) -> host.host().stop());
		this.backend.close();
		this.store.close();
	}

	private LoopbackHost startHost(String name) throws Exception {
		LoopbackHost host = LoopbackHost.start(name, this.store);
		this.hosts.add(host);
		Await.within(EVACUATION_MILLIS, host::ready);
		return host;
	}

	private static int get(LoopbackHost host) {
		try {
			return host.get("/x");
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	// Guards against orders that are not applied in time, forgotten with a restart, or
	// given up because the store returned from a copy without them; and against one that
	// holds after its deletion.
	@Test
	void anEvacuationHoldsFromItsRecordToItsDeletion() throws Exception {
		LoopbackHost first = startHost("h1");
		assertThat(get(first)).isEqualTo(200);
		this.store.put("op", KEY, "{}");
		Await.within(EVACUATION_MILLIS, () -> get(first) == 503);
		assertThat(first.metrics()).contains("sequoialink_zones_evacuated 1.0");
		int before = this.requests.get();
		LoopbackHost started = startHost("h2");
		assertThat(get(started)).isEqualTo(503);
		this.store.returnFromCopyWith("op", 1);
		Await.within(EVACUATION_MILLIS, () -> first.metrics().contains("sequoialink_store_era 2.0"));
		Await.sleep(500);
		assertThat(get(first)).isEqualTo(503);
		assertThat(this.requests).hasValue(before);
		this.store.put("op", KEY, "");
		this.hosts.forEach((host) -> Await.within(EVACUATION_MILLIS, () -> get(host) == 200));
	}

}
