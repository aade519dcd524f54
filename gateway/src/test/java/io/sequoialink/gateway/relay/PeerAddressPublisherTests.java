package io.sequoialink.gateway.relay;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

import io.sequoialink.gateway.feed.StoreFailure;
import io.sequoialink.gateway.feed.StoreReply;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PeerAddressPublisherTests implements PeerAddressStore {

	private static final long HOUR_NANOS = 3_600_000_000_000L;

	private final Peer self = new Peer("h5", "a", new InetSocketAddress("10.0.0.5", 7340));

	private final Deque<Runnable> later = new ArrayDeque<>();

	private final List<Peer> written = new ArrayList<>();

	private final List<String> dropped = new ArrayList<>();

	private boolean rejecting;

	private long now = 100 * HOUR_NANOS;

	private final ReadForwarder readForwarder = new ReadForwarder(this.self, (to, datagram) -> {
	}, (read) -> {
	}, HOUR_NANOS, () -> this.now);

	private final PeerAddressPublisher publisher = new PeerAddressPublisher(this.readForwarder, this,
			(work, delay) -> this.later.add(work));

	@Override
	public void writeAddress(Peer peer, Consumer<StoreReply<Long>> reply) {
		if (this.rejecting) {
			reply.accept(StoreReply.failed(new StoreFailure(StoreFailure.Kind.REFUSED, "busy")));
			return;
		}
		this.written.add(peer);
		reply.accept(StoreReply.of(1L));
	}

	@Override
	public void deleteAddress(String host) {
		this.dropped.add(host);
	}

	private void runLater() {
		int runs = this.later.size();
		for (int i = 0; i < runs; i++) {
			this.later.pollFirst().run();
		}
	}

	@Test
	void addressIsWrittenOnceAndAgainEveryHour() {
		this.publisher.onStatusesRead();
		this.publisher.onStatusesRead();
		assertThat(this.written).containsExactly(this.self);
		runLater();
		assertThat(this.written).hasSize(2);
	}

	@Test
	void addressInTheStoreIsNotWrittenAtTheStart() {
		this.readForwarder.onPeer(this.self, 1000);
		this.publisher.onStatusesRead();
		assertThat(this.written).isEmpty();
	}

	@Test
	void anAddressThatTheStoreHasLostIsWrittenAgainAndThoseOfOthersAreKept() {
		Peer other = new Peer("h7", "a", new InetSocketAddress("10.0.0.7", 7340));
		this.readForwarder.onPeer(this.self, 0);
		this.readForwarder.onPeer(other, 0);
		this.publisher.onStatusesRead();
		this.readForwarder.onPeerLost("h5");
		this.readForwarder.onPeerLost("h7");
		this.publisher.onStatusesRead();
		this.publisher.onStatusesRead();
		assertThat(this.written).containsExactly(this.self);
		assertThat(this.readForwarder.otherPeers()).containsExactly(other);
	}

	@Test
	void failedWriteOfTheAddressIsRetried() {
		this.rejecting = true;
		this.publisher.onStatusesRead();
		this.rejecting = false;
		runLater();
		assertThat(this.written).contains(this.self);
	}

	// Hosts are replaced every day. Without expiry, records would be forwarded to the
	// addresses of removed hosts forever.
	@Test
	void addressesOfRemovedHostsAreForgottenAndDeleted() {
		this.readForwarder.onPeer(new Peer("h7", "a", new InetSocketAddress("10.0.0.7", 7340)), 0);
		this.publisher.onStatusesRead();
		this.now += 2 * HOUR_NANOS;
		this.readForwarder.onPeer(new Peer("h8", "a", new InetSocketAddress("10.0.0.8", 7340)), 0);
		this.readForwarder.onPeer(this.self, 0);
		runLater();
		assertThat(this.dropped).isEmpty();
		this.now += 2 * HOUR_NANOS;
		runLater();
		assertThat(this.dropped).containsExactly("h7");
	}

}
