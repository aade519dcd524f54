package io.sequoialink.standin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Collectors;

import io.sequoialink.model.BackendServer;
import io.sequoialink.model.ClassId;
import io.sequoialink.model.Effect;
import io.sequoialink.model.RequestId;
import io.sequoialink.model.ServerId;
import io.sequoialink.model.ServerKind;
import io.sequoialink.remote.BackendException;
import io.sequoialink.remote.BackendException.Kind;
import io.sequoialink.remote.HttpClientPool;
import io.sequoialink.remote.HttpHostDirectory;
import io.sequoialink.remote.HttpRatingService;
import io.sequoialink.remote.HttpServiceClient;
import io.sequoialink.remote.PlatformException;
import io.sequoialink.remote.RatingService.RatedAnswer;
import io.sequoialink.remote.RatingUnavailableException;
import io.sequoialink.remote.ServiceClient.ServiceCall;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;
import static org.assertj.core.api.Assertions.catchThrowableOfType;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests {@link Standins} together with the clients of the rating service, the server list
 * and the plain services.
 */
class StandinsTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private final HttpClientPool pool = new HttpClientPool();

	@AfterEach
	void closePool() {
		this.pool.close();
	}

	@ParameterizedTest
	@CsvSource({ "magnolia, 12, us-south-a, 4", "bergvik, 8, vest-norge-a, 3" })
	void deploymentSpansFourZones(String deployment, int engines, String zone, int cheapestVersionEngines)
			throws Exception {
		try (Standins standins = Standins.of(deployment).start()) {
			Map<ServerKind, List<BackendServer>> servers = directory(standins).list()
				.stream()
				.collect(Collectors.groupingBy(BackendServer::kind));
			assertThat(servers.get(ServerKind.ENGINE)).hasSize(engines);
			assertThat(servers.get(ServerKind.SERVICE)).hasSize(4);
			assertThat(servers.get(ServerKind.ENGINE)).extracting(BackendServer::zone)
				.contains(zone)
				.doesNotContainNull();
			String cheapest = standins.outcomes().table().versions().get(0).id();
			assertThat(servers.get(ServerKind.ENGINE)).filteredOn((server) -> server.offers().contains(cheapest))
				.hasSize(cheapestVersionEngines);
		}
	}

	@Test
	void serverListLagsAndMarksServersThatShutDown() throws Exception {
		try (Standins standins = Standins.of("bergvik").addVersion("contract-small-3", "contract-small-2", 1).start()) {
			standins.directory().markShuttingDown(new ServerId("engine-1"));
			assertThat(directory(standins).list()).filteredOn(BackendServer::leaving)
				.singleElement()
				.satisfies((server) -> assertThat(server.offers()).contains("contract-small-3"));
			Thread.sleep(2);
			standins.directory().setLag(60_000);
			assertThat(directory(standins).list()).isEmpty();
			standins.directory().setUnavailable(true);
			assertThatExceptionOfType(PlatformException.class).isThrownBy(() -> directory(standins).list());
		}
	}

	@Test
	void ratingsReflectTheSimulatedQuality() throws Exception {
		try (Standins standins = Standins.of("magnolia").timeScale(0.001).start()) {
			HttpRatingService rating = new HttpRatingService(this.pool, standins.rating().address(), TIMEOUT);
			standins.rating().configure(0, 0.02, 0);
			for (int index = 0; index < 20; index++) {
				RatedAnswer answer = answer(standins, "r" + index);
				boolean meetsTarget = standins.outcomes().meetsTarget("r" + index, "listing-copy", "caption-small-3");
				assertThat(rating.rate(answer).getAsDouble()).isCloseTo(meetsTarget
						? StandinRatingService.RATING_IF_TARGET_MET : StandinRatingService.RATING_IF_TARGET_MISSED,
						within(0.1));
			}
			standins.rating().configure(0, 0.02, 1);
			assertThat(rating.rate(answer(standins, "r1"))).isEqualTo(OptionalDouble.empty());
			standins.rating().setUnavailable(true);
			assertThatExceptionOfType(RatingUnavailableException.class)
				.isThrownBy(() -> rating.rate(answer(standins, "r1")));
		}
	}

	@Test
	void scaledVersionMeetsTheTargetLessOften() throws IOException {
		SimulatedOutcomes outcomes = new SimulatedOutcomes(OutcomeTable.bundled("magnolia"), 3);
		double before = shareOfTargetsMet(outcomes);
		outcomes.scaleSuccessProbability("caption-large-1", 0.5);
		assertThat(before).isCloseTo(0.97, within(0.03));
		assertThat(shareOfTargetsMet(outcomes)).isCloseTo(before / 2, within(0.05));
	}

	@ParameterizedTest
	@CsvSource({ "REJECT, REJECTED, NONE, 0", "DROP_ANSWER, CUT_OFF, UNKNOWN, 1" })
	void failedServiceCallReportsWhetherItWasExecuted(StandinService.Fault fault, Kind kind, Effect effect,
			int executed) throws Exception {
		try (Standins standins = Standins.of("magnolia").start()) {
			StandinService service = standins.services().get("webapp-1");
			service.setFaultShare(fault, 1);
			BackendException failure = catchThrowableOfType(BackendException.class,
					() -> call(standins, "webapp-1", "k1"));
			assertThat(failure.kind()).isEqualTo(kind);
			assertThat(failure.effect()).isEqualTo(effect);
			assertThat(standins.executionRecorder().executions("k1")).isEqualTo(executed);
			service.setFaultShare(fault, 0);
			assertThat(call(standins, "webapp-1", "k1")).isEqualTo(200);
			assertThat(standins.executionRecorder().duplicatedKeyCount()).isEqualTo(executed);
		}
	}

	@Test
	void serviceErrorIsReturnedUnchanged() throws Exception {
		try (Standins standins = Standins.of("bergvik").start()) {
			standins.services().get("booking-2").setFaultShare(StandinService.Fault.FAIL, 1);
			assertThat(call(standins, "booking-2", "k2")).isEqualTo(500);
			assertThat(standins.executionRecorder().executions("k2")).isEqualTo(1);
		}
	}

	private int call(Standins standins, String id, String key) throws BackendException {
		StandinService service = standins.services().get(id);
		BackendServer server = new BackendServer(new ServerId(id), ServerKind.SERVICE, service.address().ip(),
				service.address().port(), "a", Set.of("orders"), false);
		return new HttpServiceClient(this.pool)
			.call(server,
					new ServiceCall(new RequestId("q-" + key), "POST", "/orders?x=1",
							Map.of(StandinService.KEY_HEADER, key), "{}".getBytes(StandardCharsets.UTF_8), TIMEOUT))
			.status();
	}

	private HttpHostDirectory directory(Standins standins) {
		return new HttpHostDirectory(this.pool, standins.directory().address(), TIMEOUT);
	}

	private static RatedAnswer answer(Standins standins, String request) {
		String marker = standins.outcomes().qualityMarker(request, "listing-copy", "caption-small-3");
		return new RatedAnswer(new RequestId(request), 0, new ClassId("listing-copy"), "prompt", marker + " w1");
	}

	private static double shareOfTargetsMet(SimulatedOutcomes outcomes) {
		int targetsMet = 0;
		for (int index = 0; index < 2000; index++) {
			targetsMet += outcomes.meetsTarget("s" + index, "tagline", "caption-large-1") ? 1 : 0;
		}
		return targetsMet / 2000.0;
	}

}
