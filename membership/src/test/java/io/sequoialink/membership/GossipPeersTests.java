package io.sequoialink.membership;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.sequoialink.membership.Member.State;
import io.sequoialink.model.Brake;
import io.sequoialink.model.HostId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class GossipPeersTests {

	private static final GossipSettings FAST = new GossipSettings(Duration.ofMillis(50), Duration.ofMillis(50),
			Duration.ofMillis(200), Duration.ofMillis(400), Duration.ofMinutes(1), Duration.ofSeconds(5));

	private final List<GossipPeers> started = new ArrayList<>();

	private final List<InetSocketAddress> seeds = new ArrayList<>();

	@AfterEach
	void close() {
		this.started.forEach(GossipPeers::close);
	}

	@Test
	void threeHostsShareMembersBrakesRevisionsAndPayloads() throws Exception {
		GossipPeers one = start("one", keys("k1"));
		GossipPeers two = start("two", keys("k1"));
		GossipPeers three = start("three", keys("k1"));
		assertThat(eventually(() -> this.started.stream().allMatch((peers) -> peers.members().size() == 3))).isTrue();
		one.spread(new Brake(Brake.Scope.VERSION, "v1", "errors", new HostId("one"), 1, 1));
		three.announceRevision(9);
		assertThat(eventually(() -> this.started.stream().allMatch((peers) -> peers.brakes().size() == 1))).isTrue();
		assertThat(eventually(() -> one.members()
			.stream()
			.anyMatch((member) -> member.viewRevision() == 9 && isHost(member, "three")))).isTrue();
		BlockingQueue<String> received = new LinkedBlockingQueue<>();
		two.subscribe("topic", (message) -> received
			.add(message.sender().host() + ":" + new String(message.payload(), StandardCharsets.UTF_8)));
		one.send("topic", "hello".getBytes(StandardCharsets.UTF_8), one.members());
		assertThat(received.poll(5, TimeUnit.SECONDS)).isEqualTo("one:hello");
	}

	@Test
	void leavingHostIsAnnouncedAndCrashedHostIsGivenUp() throws Exception {
		GossipPeers one = start("one", keys("k1"));
		GossipPeers two = start("two", keys("k1"));
		GossipPeers three = start("three", keys("k1"));
		GossipPeers four = start("four", keys("k1"));
		assertThat(eventually(() -> this.started.stream().allMatch((peers) -> peers.members().size() == 4))).isTrue();
		two.close();
		assertThat(eventually(() -> one.members()
			.stream()
			.noneMatch((member) -> isHost(member, "two") && member.state() != State.LEAVING))).isTrue();
		three.crash();
		assertThat(eventually(() -> one.members().size() == 2 && four.members().size() == 2)).isTrue();
	}

	@Test
	void keysAreRotatedWithoutLosingMembers() throws Exception {
		GossipPeers one = start("one", keys("old"));
		GossipPeers two = start("two", keys("old", "new"));
		assertThat(eventually(() -> one.members().size() == 2 && two.members().size() == 2)).isTrue();
		GossipPeers three = start("three",
				PeerKeys.builder()
					.accept("old", new byte[PeerKeys.MIN_KEY_BYTES])
					.accept("new", new byte[PeerKeys.MIN_KEY_BYTES])
					.active("new")
					.build());
		assertThat(eventually(() -> two.members().size() == 3 && three.members().size() == 3)).isTrue();
		assertThat(two.traffic().refused()).isEmpty();
		assertThat(eventually(() -> one.traffic().refused().containsKey(FrameRefusal.UNKNOWN_KEY))).isTrue();
	}

	private GossipPeers start(String host, PeerKeys keys) throws IOException {
		Member self = new Member(new HostId(host), System.currentTimeMillis(), "127.0.0.1", 0, "zone-a", State.ALIVE,
				0);
		GossipPeers peers = GossipPeers.builder().self(self).keys(keys).seeds(this.seeds).settings(FAST).start();
		this.started.add(peers);
		this.seeds.add(new InetSocketAddress("127.0.0.1", peers.self().port()));
		return peers;
	}

	private static PeerKeys keys(String... ids) {
		PeerKeys.Builder builder = PeerKeys.builder();
		for (String id : ids) {
			builder.accept(id, new byte[PeerKeys.MIN_KEY_BYTES]);
		}
		return builder.build();
	}

	private static boolean isHost(Member member, String host) {
		return member.host().value().equals(host);
	}

	private static boolean eventually(BooleanSupplier condition) throws InterruptedException {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
		while (!condition.getAsBoolean() && System.nanoTime() < end) {
			Thread.sleep(10);
		}
		return condition.getAsBoolean();
	}

}
