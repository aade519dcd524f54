package io.sequoialink.gateway.http;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ConnectionMemoryTests {

	private static final int LIMIT = 8 << 20;

	private long now = TimeUnit.SECONDS.toNanos(100);

	private final ConnectionMemory memory = new ConnectionMemory(LIMIT, () -> this.now);

	private final List<Connection> closed = new ArrayList<>();

	// Guards against large requests that shut out small ones and the readiness probe.
	@Test
	void aQuarterIsReservedForSmallConnections() {
		new Connection(LIMIT * 3 / 4);
		assertThat(this.memory.makeRoom(1, ConnectionMemory.SMALL_BYTES + 1)).isFalse();
		assertThat(this.memory.makeRoom(1000, 1000)).isTrue();
		assertThat(this.closed).isEmpty();
	}

	// Guards against closing fast clients, or more of them than needed, for slow ones.
	@Test
	void theConnectionThatHeldTheMostForLongestIsClosed() {
		new Connection(1 << 10);
		Connection slow = new Connection(2 << 20);
		this.now += TimeUnit.SECONDS.toNanos(5);
		new Connection(4 << 20);
		this.now += TimeUnit.SECONDS.toNanos(2);
		assertThat(this.memory.makeRoom(1 << 20, 1 << 20)).isTrue();
		assertThat(this.closed).containsExactly(slow);
		assertThat(this.memory.closedConnections()).isEqualTo(1);
	}

	// Guards against a limit that connections exceed because all of them are new.
	@Test
	void beyondTheLimitNewConnectionsAreClosedToo() {
		Connection first = new Connection(LIMIT);
		new Connection(1000);
		assertThat(this.memory.makeRoom(0, 0)).isTrue();
		assertThat(this.closed).containsExactly(first);
	}

	// Guards against endless searches when nothing may be closed.
	@Test
	void requestsThatMayBeRunningAreNotClosed() {
		Connection running = new Connection(LIMIT + 1);
		running.closable = false;
		this.now += TimeUnit.SECONDS.toNanos(60);
		assertThat(this.memory.makeRoom(1, 1)).isFalse();
		assertThat(this.closed).isEmpty();
	}

	/** A connection that has held memory since it was created. */
	private final class Connection implements ConnectionMemory.Holder {

		private final long since = ConnectionMemoryTests.this.now;

		private long bytes;

		private boolean closable = true;

		private Connection(long bytes) {
			this.bytes = bytes;
			ConnectionMemoryTests.this.memory.add(bytes);
			ConnectionMemoryTests.this.memory.register(this);
		}

		@Override
		public long closableBytes() {
			return this.closable ? this.bytes : 0;
		}

		@Override
		public long heldSinceNanos() {
			return this.since;
		}

		@Override
		public void closeForMemory() {
			ConnectionMemoryTests.this.memory.add(-this.bytes);
			this.bytes = 0;
			ConnectionMemoryTests.this.closed.add(this);
		}

	}

}
