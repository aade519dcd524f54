package io.sequoialink.gateway.place;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import io.sequoialink.decision.limits.ColdServers;
import io.sequoialink.decision.limits.PermitDecision;
import io.sequoialink.decision.limits.ServerLimits;
import io.sequoialink.decision.observation.SharedServerNotices;
import io.sequoialink.gateway.fleet.BackendService;
import io.sequoialink.gateway.fleet.ClientLimits;
import io.sequoialink.gateway.fleet.Configuration;
import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.fleet.ServerEntry;
import io.sequoialink.gateway.permit.RequestPermits;
import io.sequoialink.gateway.rollout.VersionGroup;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class LowestLatencyBalancerTests {

	private static final long SECOND = 1_000_000_000L;

	private final FleetView view = new FleetView();

	private final ServerTable servers = table();

	private ServerTable table() {
		return new ServerTable(this.view,
				new ServerNoticeTable(() -> this.now, new SplittableRandom(7), (server) -> true,
						ResponseNoticeListener.NONE),
				new SharedServerNotices(), new ServerLimitTable(new ServerLimits()), new EvacuatedZones(),
				new ColdServerTable(new ColdServers(), this.view, () -> this.now));
	}

	private long now = 100 * SECOND;

	private final LowestLatencyBalancer balancer = new LowestLatencyBalancer(this.servers, new PrefillSpeed(), "a",
			RequestPermits.NONE, () -> this.now, new SplittableRandom(5));

	@ParameterizedTest
	@CsvSource({ "ANY, true", "PREFER_TARGET, true", "PREFER_OLD, false", "OLD_ONLY, false" })
	void onlyServersOfPermittedVersionsAreChosen(VersionGroup group, boolean mayBeTarget) {
		put("old", "v1");
		put("new", "v2");
		for (int i = 0; i < 20; i++) {
			String version = choose(group, PromptSize.NONE, Set.of()).orElseThrow().entry().version();
			assertThat(version.equals("v2") && !mayBeTarget).isFalse();
			assertThat(version.equals("v1") && group == VersionGroup.PREFER_TARGET).isFalse();
		}
	}

	@Test
	void aRolledBackVersionIsNotUsedEvenIfNothingElseIsLeft() {
		put("new", "v2");
		assertThat(choose(VersionGroup.OLD_ONLY, PromptSize.NONE, Set.of())).isEmpty();
		assertThat(choose(VersionGroup.PREFER_OLD, PromptSize.NONE, Set.of())).isPresent();
	}

	@Test
	void aServerThatWasTriedOrFailsIsUsedOnlyIfNothingElseIsLeft() {
		put("one", "v1");
		put("two", "v1");
		assertThat(choose(VersionGroup.ANY, PromptSize.NONE, Set.of("one")).orElseThrow().entry().id())
			.isEqualTo("two");
		ServerState two = this.servers.find("two").orElseThrow();
		two.failed(this.now);
		two.failed(this.now);
		assertThat(choose(VersionGroup.ANY, PromptSize.NONE, Set.of()).orElseThrow().entry().id()).isEqualTo("one");
		assertThat(choose(VersionGroup.ANY, PromptSize.NONE, Set.of("one")).orElseThrow().entry().id())
			.isEqualTo("two");
	}

	@Test
	void aDrainingServerIsNeverUsed() {
		this.view.put(new ServerEntry("leaving", "s", new InetSocketAddress("127.0.0.1", 1), "a", "v1", 8, true, 0, 0));
		assertThat(choose(VersionGroup.ANY, PromptSize.NONE, Set.of())).isEmpty();
	}

	@Test
	void requestsWithTheSamePrefixGoToTheSameServerOnEveryHost() {
		for (int i = 0; i < 12; i++) {
			put("s" + i, "v1");
		}
		LowestLatencyBalancer otherHost = new LowestLatencyBalancer(table(), new PrefillSpeed(), "b",
				RequestPermits.NONE, () -> this.now, new SplittableRandom(99));
		PromptSize work = new PromptSize("m", 4711, 5000, 100);
		String first = choose(VersionGroup.ANY, work, Set.of()).orElseThrow().entry().id();
		LoadBalancingRequest request = new LoadBalancingRequest("s", VersionGroup.ANY, "", 1, work, Set.of(), 0);
		assertThat(otherHost.choose(request).orElseThrow().server().entry().id()).isEqualTo(first);
	}

	@Test
	void requestsWithAPopularPrefixSpreadToOtherServers() {
		for (int i = 0; i < 12; i++) {
			put("s" + i, "v1");
		}
		PromptSize work = new PromptSize("m", 4711, 1000, 3000);
		Map<String, Integer> used = new HashMap<>();
		for (int i = 0; i < 60; i++) {
			SelectedServer selected = this.balancer
				.choose(new LoadBalancingRequest("s", VersionGroup.ANY, "", 1, work, Set.of(), 0))
				.orElseThrow();
			selected.server().attemptStarted(selected.prefillMillis());
			used.merge(selected.server().entry().id(), 1, Integer::sum);
		}
		assertThat(used.values().stream().mapToInt(Integer::intValue).max().orElseThrow()).isLessThan(15);
	}

	@Test
	void aServerThatProcessesALongPromptIsNotChosen() {
		put("busy", "v1");
		put("free", "v1");
		choose(VersionGroup.ANY, PromptSize.NONE, Set.of());
		this.servers.find("busy").orElseThrow().attemptStarted(1800);
		for (int i = 0; i < 20; i++) {
			PromptSize work = new PromptSize("m", 0, 0, 500);
			assertThat(choose(VersionGroup.ANY, work, Set.of()).orElseThrow().entry().id()).isEqualTo("free");
		}
	}

	// A fault that shows only under load stayed unnoticed while a twelfth of the requests
	// was spread over all servers of the target version.
	@Test
	void aSmallShareOfTheTargetVersionUsesTheSameFewServersOnEveryHost() {
		for (int i = 0; i < 12; i++) {
			put("old" + i, "v1");
			put("new" + i, "v2");
		}
		LowestLatencyBalancer otherHost = new LowestLatencyBalancer(table(), new PrefillSpeed(), "b",
				RequestPermits.NONE, () -> this.now, new SplittableRandom(99));
		Set<String> used = new HashSet<>();
		for (int i = 0; i < 50; i++) {
			LoadBalancingRequest request = new LoadBalancingRequest("s", VersionGroup.PREFER_TARGET, "v2", 0.1,
					PromptSize.NONE, Set.of(), 0);
			used.add(this.balancer.choose(request).orElseThrow().server().entry().id());
			used.add(otherHost.choose(request).orElseThrow().server().entry().id());
		}
		assertThat(used).hasSizeBetween(1, 2).allMatch((id) -> id.startsWith("new"));
	}

	private void put(String id, String version) {
		this.view.put(new ServerEntry(id, "s", new InetSocketAddress("127.0.0.1", 1), "a", version, 8, false, 0, 0));
	}

	private Optional<ServerState> choose(VersionGroup group, PromptSize work, Set<String> tried) {
		return this.balancer.choose(new LoadBalancingRequest("s", group, "v2", 1, work, tried, 0))
			.map(SelectedServer::server);
	}

	// The state of a service without slowdown reports may hold measured times only, which
	// must not change its choices.
	@ParameterizedTest
	@CsvSource({ "true", "false" })
	void aSlowServerIsAvoidedOnlyIfItsServiceHasSlowdownReports(boolean reports) {
		put("slow", "v1");
		put("usual", "v1");
		choose(VersionGroup.ANY, PromptSize.NONE, Set.of());
		ServerState slow = this.servers.find("slow").orElseThrow();
		slow.speed().measured(800, 100, this.now);
		OptionalInt percent = reports ? OptionalInt.of(800) : OptionalInt.empty();
		this.servers.loadReported(slow, 0, 0, percent, this.now);
		this.servers.find("usual").orElseThrow().report(2, 0, this.now);
		for (PromptSize work : List.of(PromptSize.NONE, new PromptSize("m", 0, 0, 500))) {
			assertThat(choose(VersionGroup.ANY, work, Set.of()).orElseThrow().entry().id())
				.isEqualTo(reports ? "usual" : "slow");
		}
	}

	// Three running drafts fill the memory, although most slots are free.
	@ParameterizedTest
	@CsvSource({ "true, 4000, 12000, free", "true, 0, 12000, busy", "true, 4000, 200, busy", "false, 4000, 12000, busy",
			"true, 2147483647, 12000, free" })
	void aServerWithoutRoomInItsMemoryIsAvoidedByRequestsThatDoNotFit(boolean reports, double outputTokens, int tokens,
			String expected) {
		this.view.updateConfiguration(
				new Configuration(1, List.of(), List.of(new BackendService("s", "/", 100, 45_000, List.of(), 0)),
						List.of(), new ClientLimits(2048, 10_000, 400, 1500)));
		put("busy", "v1");
		put("free", "v1");
		choose(VersionGroup.ANY, PromptSize.NONE, Set.of());
		this.servers.memoryUse().sent("s", 11_000);
		OptionalInt usual = reports ? OptionalInt.of(100) : OptionalInt.empty();
		this.servers.loadReported(this.servers.find("busy").orElseThrow(), 3, 0, usual, this.now);
		this.servers.find("free").orElseThrow().attemptStarted(100);
		SelectedServer selected = this.balancer
			.choose(new LoadBalancingRequest("s", VersionGroup.ANY, "", 1, new PromptSize("m", 0, 0, tokens), Set.of(),
					0, new ExpectedWork(0, outputTokens)))
			.orElseThrow();
		assertThat(selected.server().entry().id()).isEqualTo(expected);
		assertThat(selected.heldTokens()).isEqualTo(reports ? Math.min(45_000, tokens + outputTokens) : 0);
	}

	// A limit must not move requests, or sessions that are pinned, to another version.
	@ParameterizedTest
	@CsvSource({ "PREFER_TARGET, new", "PREFER_OLD, old", "OLD_ONLY, old" })
	void limitedServersDoNotMoveRequestsToAnotherVersion(VersionGroup group, String limited) {
		put("old", "v1");
		put("new", "v2");
		LowestLatencyBalancer limiting = new LowestLatencyBalancer(this.servers, new PrefillSpeed(), "a",
				new LimitedServers(this.servers, Map.of(limited, 2 * SECOND)), () -> this.now, new SplittableRandom(5));
		LoadBalancingRequest brief = new LoadBalancingRequest("s", group, "v2", 1, PromptSize.NONE, Set.of(), SECOND);
		assertThat(limiting.choose(brief)).isEmpty();
		LoadBalancingRequest patient = new LoadBalancingRequest("s", group, "v2", 1, PromptSize.NONE, Set.of(),
				3 * SECOND);
		assertThat(limiting.choose(patient).orElseThrow().server().entry().id()).isEqualTo(limited);
	}

	@Test
	void aRequestWaitsForAPermitOnlyIfEveryServerNeedsOne() {
		put("one", "v1");
		put("two", "v1");
		LimitedServers permits = new LimitedServers(this.servers, Map.of("one", SECOND));
		LowestLatencyBalancer limiting = new LowestLatencyBalancer(this.servers, new PrefillSpeed(), "a", permits,
				() -> this.now, new SplittableRandom(5));
		LoadBalancingRequest request = new LoadBalancingRequest("s", VersionGroup.ANY, "", 1, PromptSize.NONE, Set.of(),
				5 * SECOND);
		assertThat(limiting.choose(request).orElseThrow().server().entry().id()).isEqualTo("two");
		permits.limit("two", 2 * SECOND);
		SelectedServer soonest = limiting.choose(request).orElseThrow();
		assertThat(soonest.server().entry().id()).isEqualTo("one");
		assertThat(soonest.permitWaitNanos()).isEqualTo(5 * SECOND);
	}

	// A cold server has to be spared; requests wait for a permit of a warm one instead.
	@Test
	void noRequestWaitsForAColdServerWhileThereIsAWarmOne() {
		put("cold", "v1");
		put("warm", "v1");
		LimitedServers permits = new LimitedServers(this.servers, Map.of("cold", SECOND, "warm", 2 * SECOND));
		permits.cold = "cold";
		LowestLatencyBalancer limiting = new LowestLatencyBalancer(this.servers, new PrefillSpeed(), "a", permits,
				() -> this.now, new SplittableRandom(5));
		LoadBalancingRequest request = new LoadBalancingRequest("s", VersionGroup.ANY, "", 1, PromptSize.NONE, Set.of(),
				5 * SECOND);
		assertThat(limiting.choose(request).orElseThrow().server().entry().id()).isEqualTo("warm");
		permits.limit("cold", 0);
		SelectedServer atOnce = limiting.choose(request).orElseThrow();
		assertThat(atOnce.server().entry().id()).isEqualTo("cold");
		permits.limit("warm", 0);
		assertThat(limiting.choose(request).orElseThrow().server().entry().id()).isEqualTo("warm");
	}

	/** Limited servers with the times from now of their next permits. */
	private static final class LimitedServers implements RequestPermits {

		private final ServerTable table;

		private final Map<String, Long> earliest;

		private LimitedServers(ServerTable table, Map<String, Long> earliest) {
			this.table = table;
			this.earliest = new HashMap<>(earliest);
		}

		private String cold = "";

		@Override
		public long coldNanos(long server) {
			return this.table.displayName(server).equals(this.cold) ? SECOND : 0;
		}

		private void limit(String server, long earliestNanos) {
			this.earliest.put(server, earliestNanos);
		}

		@Override
		public boolean anyLimited() {
			return true;
		}

		@Override
		public OptionalDouble limitPerSecond(long server) {
			return this.earliest.containsKey(this.table.displayName(server)) ? OptionalDouble.of(1)
					: OptionalDouble.empty();
		}

		@Override
		public long earliestNanos(long server) {
			return this.earliest.getOrDefault(this.table.displayName(server), 0L);
		}

		@Override
		public void acquire(long server, long maxWaitNanos, Consumer<PermitDecision> receiver) {
			throw new UnsupportedOperationException("the choice asks for no permit");
		}

		@Override
		public int hosts() {
			return 1;
		}

	}

}
