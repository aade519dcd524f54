package io.sequoialink.gateway.path;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.nio.NioEventLoopGroup;
import io.sequoialink.gateway.count.GatewayMetrics;
import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.fleet.ServerEntry;
import io.sequoialink.gateway.relay.Peer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Proof of a crash by other hosts, over loopback: one host never answers, the other says
 * what the test sets.
 */
class WitnessTests {

	private static final int PROOFS = 12;

	/** Well below the 300 ms after which a host counts as silent. */
	private static final long PROMPT_MILLIS = 200;

	private final NioEventLoopGroup loop = new NioEventLoopGroup(1);

	private final ServicePaths paths = new ServicePaths(System::nanoTime);

	private final FleetView view = new FleetView();

	private final ServerSocket silent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

	private TunnelAnswer answer = TunnelAnswer.UNDECIDED;

	private final AnsweringHost answering = new AnsweringHost("answering", (server) -> this.answer);

	WitnessTests() throws IOException {
	}

	@AfterEach
	void stop() throws Exception {
		this.silent.close();
		this.answering.close();
		this.loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync();
	}

	// Guards against crashes that are reported too late to count, because the first
	// witness does not answer.
	@Test
	void aHostThatDoesNotAnswerDoesNotDelayTheProofOfACrash() throws Exception {
		this.answer = TunnelAnswer.REFUSED;
		for (int i = 0; i < PROOFS; i++) {
			long began = System.nanoTime();
			assertThat(probe(i)).as("refused, also to the witness").isPresent();
			assertThat((System.nanoTime() - began) / 1_000_000).as("proof %s", i).isLessThan(PROMPT_MILLIS);
		}
	}

	@Test
	void aHostThatConnectsProvesThatThereWasNoCrash() throws Exception {
		this.answer = TunnelAnswer.CONNECTED;
		for (int i = 0; i < PROOFS; i++) {
			assertThat(probe(i)).as("no error: the server takes connections of the witness").isEmpty();
		}
	}

	// Guards against crashes that never count, because all servers of the service have
	// ended, so that no host can tell them from a broken path: a request that crashes
	// servers then runs again and again.
	@ParameterizedTest(name = "a server of another service takes connections: {0}")
	@ValueSource(booleans = { true, false })
	void whetherAllServersOfAServiceHaveEndedIsSeenAtAnotherService(boolean otherServiceReached) throws Exception {
		this.answer = TunnelAnswer.UNDECIDED;
		InetAddress loopback = InetAddress.getLoopbackAddress();
		this.view.put(server("i-2", "svc", new InetSocketAddress(loopback, 1)));
		this.view.put(server("i-3", "svc", new InetSocketAddress(loopback, 1)));
		int port = otherServiceReached ? this.silent.getLocalPort() : 1;
		this.view.put(server("o-1", "other", new InetSocketAddress(loopback, port)));
		Throwable failure = probe(1).orElseThrow();
		assertThat(ServerConnector.refused(failure)).as("counts as a crash: %s", failure)
			.isEqualTo(otherServiceReached);
	}

	// Guards against crashes that never count on a path that is suspected to be silent,
	// because one server did not answer, while the hosts that are asked suspect theirs
	// too (soak seed 4101): the host itself is refused.
	@Test
	void aPathThatIsSuspectedWronglyDoesNotHideACrash() throws Exception {
		this.answer = TunnelAnswer.CUT_OFF;
		this.view.put(server("o-1", "other",
				new InetSocketAddress(InetAddress.getLoopbackAddress(), this.silent.getLocalPort())));
		suspectPath();
		assertThat(ServerConnector.refused(probe(1).orElseThrow())).as("counts as a crash").isTrue();
	}

	// Guards against asking hosts that are cut off too, while one is known that helps.
	@Test
	void onASuspectedPathAHostThatHasHelpedIsAWitness() throws Exception {
		this.answer = TunnelAnswer.CUT_OFF;
		List<Peer> others = new ArrayList<>();
		try (AnsweringHost helping = new AnsweringHost("helping", (server) -> TunnelAnswer.REFUSED)) {
			for (int i = 0; i < 20; i++) {
				others.add(new Peer("cut " + i, "z", this.answering.peer().address()));
			}
			others.add(helping.peer());
			suspectPath();
			HelpingHosts hosts = hosts(1, others);
			this.loop.submit(() -> hosts.of("svc").helped(helping.peer())).sync();
			assertThat(probe(hosts).orElseThrow()).hasMessageContaining("refused, also to host helping");
		}
	}

	// Guards against a burst of connections when a path breaks while many requests run:
	// each
	// of them asked witnesses and looked at other servers.
	@Test
	void requestsThatAreLostAtOneServerShareTheProof() throws Exception {
		this.answer = TunnelAnswer.REFUSED;
		ServerConnector connector = connector(hosts(1, List.of(this.answering.peer())));
		List<CompletableFuture<Optional<Throwable>>> outcomes = new ArrayList<>();
		this.loop.submit(() -> {
			for (int i = 0; i < 20; i++) {
				CompletableFuture<Optional<Throwable>> outcome = new CompletableFuture<>();
				outcomes.add(outcome);
				connector.probe(crashed(), outcome::complete);
			}
		}).sync();
		for (CompletableFuture<Optional<Throwable>> outcome : outcomes) {
			assertThat(ServerConnector.refused(outcome.get(5, TimeUnit.SECONDS).orElseThrow())).isTrue();
		}
		assertThat(this.answering.asked()).isEqualTo(1);
		assertThat(probe(1)).as("a later one is proven anew").isPresent();
		assertThat(this.answering.asked()).isEqualTo(2);
	}

	private void suspectPath() throws Exception {
		this.loop.submit(() -> this.paths.failed(server("i-9", "svc", new InetSocketAddress(1)), true)).sync();
	}

	private static ServerEntry server(String id, String service, InetSocketAddress address) {
		return new ServerEntry(id, service, address, "z", "v1", 1, false, 0, 0);
	}

	private Peer silentPeer() {
		return new Peer("silent", "z",
				new InetSocketAddress(InetAddress.getLoopbackAddress(), this.silent.getLocalPort()));
	}

	private Optional<Throwable> probe(int seed) throws Exception {
		return probe(hosts(seed, List.of(silentPeer(), this.answering.peer())));
	}

	private static HelpingHosts hosts(int seed, List<Peer> others) {
		Peer self = new Peer("self", "z", new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
		return new HelpingHosts(self, () -> others, System::nanoTime, new SplittableRandom(seed));
	}

	private ServerConnector connector(HelpingHosts hosts) {
		return new ServerConnector(this.loop, (address) -> address, this.paths, hosts,
				new OtherServers(this.view, new SplittableRandom(2)), new GatewayMetrics().tunnels(), System::nanoTime);
	}

	private static ServerEntry crashed() {
		return server("i-1", "svc", new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
	}

	private Optional<Throwable> probe(HelpingHosts hosts) throws Exception {
		ServerConnector connector = connector(hosts);
		CompletableFuture<Optional<Throwable>> outcome = new CompletableFuture<>();
		this.loop.submit(() -> connector.probe(crashed(), outcome::complete)).sync();
		return outcome.get(5, TimeUnit.SECONDS);
	}

}
