package io.sequoialink.gateway.place;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.sequoialink.decision.limits.ColdServers;
import io.sequoialink.decision.limits.ServerLimits;
import io.sequoialink.decision.observation.SharedServerNotices;
import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.fleet.ServerEntry;
import io.sequoialink.gateway.permit.RequestPermits;
import io.sequoialink.gateway.rollout.VersionGroup;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ServerNoticeTableTests {

	private static final ResponseNotice SHUTTING_DOWN = new ResponseNotice(true, OptionalLong.empty());

	private final FleetView view = new FleetView();

	private final List<ResponseNotice> received = new ArrayList<>();

	private long now = TimeUnit.SECONDS.toNanos(100);

	private final ServerNoticeTable notices = new ServerNoticeTable(() -> this.now, new SplittableRandom(7),
			(server) -> true, (server, notice) -> this.received.add(notice));

	private final SharedServerNotices sharedNotices = new SharedServerNotices();

	private final ServerTable table = new ServerTable(this.view, this.notices, this.sharedNotices,
			new ServerLimitTable(new ServerLimits()), new EvacuatedZones(),
			new ColdServerTable(new ColdServers(), new FleetView(), () -> this.now));

	private final LowestLatencyBalancer balancer = new LowestLatencyBalancer(this.table, new PrefillSpeed(), "a",
			RequestPermits.NONE, () -> this.now, new SplittableRandom(5));

	@BeforeEach
	void twoServers() {
		this.view.put(entry("one", 5, false));
		this.view.put(entry("two", 5, false));
	}

	private static ServerEntry entry(String id, long startMillis, boolean draining) {
		return new ServerEntry(id, "s", new InetSocketAddress("127.0.0.1", 1), "a", "v1", 8, draining, 0, startMillis);
	}

	private static ResponseNotice backoff(long millis) {
		return new ResponseNotice(false, OptionalLong.of(millis));
	}

	private void advance(long millis) {
		this.now += TimeUnit.MILLISECONDS.toNanos(millis);
	}

	private String chosen() {
		return this.balancer
			.choose(new LoadBalancingRequest("s", VersionGroup.ANY, "", 0, PromptSize.NONE, Set.of(), 0))
			.map((selected) -> selected.server().entry().id())
			.orElse("none");
	}

	private boolean everChosen(String id) {
		boolean ever = false;
		for (int i = 0; i < 40; i++) {
			ever |= chosen().equals(id);
		}
		return ever;
	}

	@ParameterizedTest
	@ValueSource(longs = { 5, 4 })
	void aServerThatAnnouncedItsShutdownReceivesNothingWhateverTheStoreSays(long startInTheStore) {
		this.notices.received(entry("one", 5, false), SHUTTING_DOWN);
		this.view.put(entry("one", startInTheStore, false));
		assertThat(everChosen("one")).isFalse();
		this.notices.received(entry("one", 5, false), ResponseNotice.NONE);
		this.view.remove("one");
		this.table.prune();
		this.view.put(entry("one", startInTheStore, false));
		advance(60_000);
		assertThat(everChosen("one")).isFalse();
	}

	@Test
	void noticesDoNotApplyToTheNextIncarnation() {
		this.notices.received(entry("one", 5, false), SHUTTING_DOWN);
		this.notices.received(entry("two", 5, false), backoff(60_000));
		assertThat(chosen()).isEqualTo("none");
		this.view.put(entry("one", 6, false));
		this.view.put(entry("two", 6, false));
		assertThat(this.table.usableServers("s")).extracting((state) -> state.entry().id())
			.containsExactlyInAnyOrder("one", "two");
	}

	@Test
	void aLateNoticeOfAnEarlierIncarnationIsIgnored() {
		this.view.put(entry("one", 6, false));
		this.notices.received(entry("one", 6, false), backoff(100));
		this.notices.received(entry("one", 5, false), SHUTTING_DOWN);
		advance(5000);
		assertThat(this.table.usableServers("s")).hasSize(2);
	}

	@Test
	void noServerIsChosenWhenAllAreShuttingDown() {
		this.notices.received(entry("one", 5, false), SHUTTING_DOWN);
		this.notices.received(entry("two", 5, false), SHUTTING_DOWN);
		assertThat(chosen()).isEqualTo("none");
		assertThat(this.table.backoffMillis("s")).isEmpty();
	}

	@Test
	void aServerWithABackoffIsNotChosenUntilItEnds() {
		this.notices.received(entry("one", 5, false), backoff(3000));
		assertThat(everChosen("one")).isFalse();
		advance(2990);
		assertThat(everChosen("one")).isFalse();
		advance(800);
		assertThat(everChosen("one")).isTrue();
	}

	@Test
	void whenAllServersHaveABackoffTheShortestOneIsReported() {
		this.notices.received(entry("one", 5, false), backoff(9000));
		this.notices.received(entry("two", 5, false), backoff(2000));
		assertThat(chosen()).isEqualTo("none");
		assertThat(this.table.backoffMillis("s").getAsLong()).isBetween(2000L, 2501L);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 3_600_000, Long.MAX_VALUE })
	void backoffsOfAnyLengthAreAcceptedUpToTheLimit(long millis) {
		this.notices.received(entry("one", 5, false), backoff(millis));
		assertThat(everChosen("one")).isFalse();
		assertThat(this.table.backoffMillis("s").orElse(0))
			.isLessThanOrEqualTo(ServerNoticeTable.MAX_BACKOFF_MILLIS + 1001);
	}

	@Test
	void aNoticeAfterTheChoicePreventsTheSend() {
		ServerState one = this.table.usableServers("s").get(0);
		long chosenAt = this.now;
		assertThat(this.table.stillUsable(one, chosenAt)).isTrue();
		advance(1);
		this.notices.received(one.entry(), backoff(1000));
		assertThat(this.table.stillUsable(one, chosenAt)).isFalse();
		advance(60_000);
		assertThat(this.table.stillUsable(one, chosenAt)).isTrue();
		this.notices.received(one.entry(), SHUTTING_DOWN);
		assertThat(this.table.stillUsable(one, this.now)).isFalse();
	}

	@Test
	void aServerThatTheStoreRemovedMeanwhileReceivesNothing() {
		List<ServerState> chosen = this.table.usableServers("s");
		this.view.put(entry("one", 5, true));
		this.view.remove("two");
		assertThat(chosen).noneMatch((state) -> this.table.stillUsable(state, this.now));
	}

	@Test
	void aNoticeFromAPeerMakesAServerTheLastChoiceForAWhileOnly() {
		this.view.put(entry("three", 5, false));
		this.view.put(entry("four", 5, false));
		this.sharedNotices.recordShutdown(ServerState.incarnation(entry("one", 5, false)), this.now);
		assertThat(everChosen("one")).isFalse();
		advance(11_000);
		assertThat(everChosen("one")).isTrue();
	}

	@Test
	void peerNoticesThatMostServersShutDownAreIgnored() {
		this.sharedNotices.recordShutdown(ServerState.incarnation(entry("one", 5, false)), this.now);
		assertThat(everChosen("one")).isTrue();
	}

	@Test
	void theListenerReceivesEachNoticeOnce() {
		for (int i = 0; i < 5; i++) {
			this.notices.received(entry("one", 5, false), SHUTTING_DOWN);
			this.notices.received(entry("two", 5, false), backoff(5000));
		}
		assertThat(this.received).containsExactly(SHUTTING_DOWN, backoff(5000));
	}

}
