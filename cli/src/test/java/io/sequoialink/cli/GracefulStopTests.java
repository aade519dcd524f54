package io.sequoialink.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import io.sequoialink.bench.live.Caller;
import io.sequoialink.bench.live.DeploymentObjects;
import io.sequoialink.bench.live.LiveFleet;
import io.sequoialink.daemon.host.EntryHost;
import io.sequoialink.daemon.host.HostPolicies;
import io.sequoialink.standin.EngineFault;
import io.sequoialink.standin.StandinEngine;
import io.sequoialink.standin.Standins;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks that a host that stops gracefully completes all requests in progress. The
 * simulated engines hold all responses until the stop has begun, so that every request is
 * in flight when it begins.
 */
class GracefulStopTests {

	private static final int REQUESTS = 500;

	@Test
	void gracefulStopAbortsNoneOf500RequestsInFlight() throws Exception {
		Standins standins = Standins.of("magnolia").timeScale(0.4).batchCapacity(128).start();
		standins.engines().values().forEach((engine) -> engine.setFaultShare(EngineFault.SLOW, 1));
		standins.engines().values().forEach(StandinEngine::pauseAnswers);
		ExecutorService executor = Executors.newFixedThreadPool(REQUESTS + 1);
		try (LiveFleet fleet = LiveFleet.start("magnolia", standins, 2, HostPolicies.DEFAULT, 1);
				Caller caller = new Caller(fleet.hosts().get(0).httpPort())) {
			EntryHost host = fleet.hosts().get(0);
			List<Future<Caller.Reply>> replies = new ArrayList<>();
			for (int i = 0; i < REQUESTS; i++) {
				int number = i;
				replies.add(executor.submit(() -> send(caller, number)));
			}
			LiveFleet.await(() -> host.inProgress() == REQUESTS);
			CountDownLatch stopping = new CountDownLatch(1);
			Future<Integer> stopped = executor.submit(() -> {
				stopping.countDown();
				return host.stop();
			});
			stopping.await();
			standins.engines().values().forEach(StandinEngine::resumeAnswers);
			assertThat(stopped.get()).isZero();
			for (Future<Caller.Reply> reply : replies) {
				assertThat(reply.get().answered()).as(reply.get().text()).isTrue();
			}
		}
		finally {
			executor.shutdownNow();
		}
	}

	private static Caller.Reply send(Caller caller, int number) {
		String account = "account-" + number % DeploymentObjects.ACCOUNTS;
		return caller.chat(DeploymentObjects.key(account), "caption-set", "in flight " + number, 150, number % 2 == 0,
				Map.of("x-sequoialink-deadline", "60s"));
	}

}
