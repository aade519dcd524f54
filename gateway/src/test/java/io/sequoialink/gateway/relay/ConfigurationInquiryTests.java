package io.sequoialink.gateway.relay;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import io.sequoialink.gateway.feed.StartupHold;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Hosts that ask one another for the version that they have in force, without sockets.
 */
class ConfigurationInquiryTests {

	private final Map<InetSocketAddress, Host> hosts = new HashMap<>();

	private final List<byte[]> sent = new ArrayList<>();

	private Host host(int number, long version) {
		Host host = new Host(new Peer("h" + number, "z", new InetSocketAddress("10.0.0." + number, 7000)), version);
		this.hosts.put(host.self.address(), host);
		return host;
	}

	// Guards against an older configuration coming back on a host that starts, whose
	// address the others do not know yet (CONFIG).
	@ParameterizedTest
	@ValueSource(ints = { 6, 95, 200 })
	void aNewHostHearsOfTheLaterVersionFromFewHosts(int others) {
		Host started = new Host(new Peer("new", "z", new InetSocketAddress("10.0.1.1", 7000)), -1);
		this.hosts.put(started.self.address(), started);
		for (int i = 1; i <= others; i++) {
			started.forwarder.onPeer(host(i, 9).self, 0);
		}
		started.inquiry.ask();
		assertThat(started.hold.holdsBack(8)).isTrue();
		assertThat(started.hold.holdsBack(9)).isFalse();
		assertThat(this.sent).hasSizeLessThanOrEqualTo(2 * GossipTargets.HOSTS_PER_ROUND)
			.allMatch((sent) -> sent.length < 30);
	}

	@Test
	void aHostThatKnowsNoOtherWaitsForNoAnswer() {
		Host alone = host(1, -1);
		alone.inquiry.ask();
		assertThat(alone.hold.holdsBack(1)).isFalse();
	}

	@Test
	void anAnswerFromAnotherAddressThanThatOfItsHostIsDropped() {
		Host asking = host(1, -1);
		Host other = host(2, 9);
		asking.forwarder.onPeer(other.self, 0);
		asking.inquiry.ask();
		byte[] answer = this.sent.get(1);
		Host again = host(3, -1);
		again.forwarder.onPeer(other.self, 0);
		again.hold.asked(0);
		again.inquiry.onDatagram(asking.self.address().getAddress(), answer);
		assertThat(again.hold.holdsBack(1)).isFalse();
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 11, 12 })
	void aShortDatagramIsDropped(int length) {
		Host host = host(1, 3);
		byte[] datagram = new byte[length];
		datagram[0] = 9;
		assertThat(ConfigurationInquiry.isInquiryDatagram(datagram)).isTrue();
		host.inquiry.onDatagram(host.self.address().getAddress(), datagram);
		assertThat(this.sent).isEmpty();
	}

	/** One simulated host. Datagrams arrive at once. */
	private final class Host {

		private final Peer self;

		private final ReadForwarder forwarder;

		private final StartupHold hold = new StartupHold(() -> 0);

		private final ConfigurationInquiry inquiry;

		private Host(Peer self, long version) {
			this.self = self;
			this.forwarder = new ReadForwarder(self, this::send, (batch) -> {
			}, 1_000_000_000L, () -> 0);
			this.inquiry = new ConfigurationInquiry(this.forwarder,
					new GossipTargets(this.forwarder, new SplittableRandom(1)), this::send, () -> version, this.hold);
		}

		private void send(InetSocketAddress to, byte[] datagram) {
			ConfigurationInquiryTests.this.sent.add(datagram);
			ConfigurationInquiryTests.this.hosts.get(to).inquiry.onDatagram(this.self.address().getAddress(), datagram);
		}

	}

}
