package io.sequoialink.decision.observation;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FleetSightingsTests {

	private static final long SERVER = 77;

	private long now = TimeUnit.SECONDS.toNanos(100);

	private final FleetSightings notices = new FleetSightings();

	private void advanceMillis(long millis) {
		this.now += TimeUnit.MILLISECONDS.toNanos(millis);
	}

	private void gossipAllRounds() {
		for (int round = 0; round < FleetSightings.GOSSIP_ROUNDS; round++) {
			assertThat(this.notices.toTell(10, this.now)).containsKey(SERVER);
		}
		assertThat(this.notices.toTell(10, this.now)).isEmpty();
	}

	@Test
	void noticeExpiresAndIsGossipedInALimitedNumberOfRounds() {
		this.notices.leaves(SERVER, this.now);
		gossipAllRounds();
		assertThat(this.notices.wantsNoMore(SERVER, this.now)).isTrue();
		assertThat(this.notices.wantsNoMore(SERVER + 1, this.now)).isFalse();
		advanceMillis(3001);
		assertThat(this.notices.wantsNoMore(SERVER, this.now)).isFalse();
		this.notices.toTell(10, this.now);
		assertThat(this.notices.empty()).isTrue();
	}

	@Test
	void duplicateFromAPeerIsNotGossipedAgain() {
		this.notices.leaves(SERVER, this.now);
		this.notices.spared(SERVER, this.now + 5_000_000_000L);
		gossipAllRounds();
		ServerSighting duplicate = new ServerSighting(this.now + 3_000_000, this.now + 5_003_000_000L);
		assertThat(this.notices.told(SERVER, duplicate, this.now + 4_000_000)).isFalse();
		assertThat(this.notices.toTell(10, this.now)).isEmpty();
	}

	@Test
	void ignoresOldNoticesAndCapsLongBackoffs() {
		this.notices.told(SERVER, new ServerSighting(this.now - 3_100_000_000L, ServerSighting.NEVER), this.now);
		assertThat(this.notices.empty()).isTrue();
		this.notices.told(SERVER, new ServerSighting(ServerSighting.NEVER, Long.MAX_VALUE), this.now);
		assertThat(this.notices.wantsNoMore(SERVER, this.now)).isTrue();
		advanceMillis(10_001);
		assertThat(this.notices.wantsNoMore(SERVER, this.now)).isFalse();
	}

	@Test
	void theNumberOfServersIsBounded() {
		for (long server = 0; server < 9000; server++) {
			this.notices.leaves(server, this.now);
		}
		assertThat(this.notices.toTell(9000, this.now)).hasSize(4096);
	}

}
