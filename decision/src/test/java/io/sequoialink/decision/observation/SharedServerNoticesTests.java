package io.sequoialink.decision.observation;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SharedServerNoticesTests {

	private static final long SERVER = 77;

	private long now = TimeUnit.SECONDS.toNanos(100);

	private final SharedServerNotices notices = new SharedServerNotices();

	private void advanceMillis(long millis) {
		this.now += TimeUnit.MILLISECONDS.toNanos(millis);
	}

	private void gossipAllRounds() {
		for (int round = 0; round < GossipRounds.ROUNDS_PER_CHANGE; round++) {
			assertThat(this.notices.selectForGossip(10, this.now)).containsKey(SERVER);
		}
		assertThat(this.notices.selectForGossip(10, this.now)).isEmpty();
	}

	@Test
	void noticeExpiresAndIsGossipedInALimitedNumberOfRounds() {
		this.notices.recordShutdown(SERVER, this.now);
		gossipAllRounds();
		assertThat(this.notices.shouldAvoid(SERVER, this.now)).isTrue();
		assertThat(this.notices.shouldAvoid(SERVER + 1, this.now)).isFalse();
		advanceMillis(3001);
		assertThat(this.notices.shouldAvoid(SERVER, this.now)).isFalse();
		this.notices.selectForGossip(10, this.now);
		assertThat(this.notices.isEmpty()).isTrue();
	}

	@Test
	void duplicateFromAPeerIsNotGossipedAgain() {
		this.notices.recordShutdown(SERVER, this.now);
		this.notices.recordBackoff(SERVER, this.now + 5_000_000_000L);
		gossipAllRounds();
		ServerNotice duplicate = new ServerNotice(this.now + 3_000_000, this.now + 5_003_000_000L);
		assertThat(this.notices.mergeFromPeer(SERVER, duplicate, this.now + 4_000_000)).isFalse();
		assertThat(this.notices.selectForGossip(10, this.now)).isEmpty();
	}

	@Test
	void ignoresOldNoticesAndCapsLongBackoffs() {
		this.notices.mergeFromPeer(SERVER, new ServerNotice(this.now - 3_100_000_000L, ServerNotice.NEVER), this.now);
		assertThat(this.notices.isEmpty()).isTrue();
		this.notices.mergeFromPeer(SERVER, new ServerNotice(ServerNotice.NEVER, Long.MAX_VALUE), this.now);
		assertThat(this.notices.shouldAvoid(SERVER, this.now)).isTrue();
		advanceMillis(10_001);
		assertThat(this.notices.shouldAvoid(SERVER, this.now)).isFalse();
	}

	@Test
	void theNumberOfServersIsBounded() {
		for (long server = 0; server < 9000; server++) {
			this.notices.recordShutdown(server, this.now);
		}
		assertThat(this.notices.selectForGossip(9000, this.now)).hasSize(4096);
	}

}
