package io.sequoialink.membership;

import java.io.InputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import com.google.protobuf.ByteString;
import io.sequoialink.membership.Member.State;
import io.sequoialink.membership.wire.PeerProtocol;
import io.sequoialink.membership.wire.PeerProtocol.Body;
import io.sequoialink.model.HostId;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class PeerMessageFuzzTests {

	private static final byte[] NONCE = new byte[FrameCodec.NONCE_BYTES];

	private static final PeerKeys KEYS = keys("k1", 1);

	@Property(tries = 2000, seed = "1")
	void arbitraryBytesAreRefused(@ForAll @Size(max = 600) byte[] bytes) {
		assertThatExceptionOfType(RefusedFrameException.class)
			.isThrownBy(() -> new FrameCodec(KEYS).read(NONCE, 1, bytes));
	}

	@Property(tries = 2000, seed = "2")
	void oneChangedBitIsRefused(@ForAll @IntRange(max = 100_000) int place, @ForAll @IntRange(max = 7) int bit) {
		byte[] frame = new FrameCodec(KEYS).sign(NONCE, 1, Body.newBuilder().setSender("one").build());
		frame[place % frame.length] ^= (byte) (1 << bit);
		assertThatExceptionOfType(RefusedFrameException.class)
			.isThrownBy(() -> new FrameCodec(KEYS).read(NONCE, 1, frame));
	}

	@Test
	void frameCountsOnceAndOnItsConnectionOnly() throws Exception {
		FrameCodec codec = new FrameCodec(KEYS);
		byte[] frame = codec.sign(NONCE, 1, Body.newBuilder().setSender("one").build());
		assertThat(codec.read(NONCE, 1, frame).getSender()).isEqualTo("one");
		assertThatExceptionOfType(RefusedFrameException.class).isThrownBy(() -> codec.read(NONCE, 2, frame))
			.satisfies((ex) -> assertThat(ex.refusal()).isEqualTo(FrameRefusal.REPLAYED));
		byte[] otherNonce = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16 };
		assertThatExceptionOfType(RefusedFrameException.class).isThrownBy(() -> codec.read(otherNonce, 1, frame))
			.satisfies((ex) -> assertThat(ex.refusal()).isEqualTo(FrameRefusal.BAD_CODE));
	}

	@Property(tries = 1000, seed = "3")
	void authenticBodiesOfAnyContentAreTakenOrRefused(@ForAll("bodies") Body body) throws Exception {
		GossipCore core = core();
		try {
			core.receive(body, 1000);
		}
		catch (RefusedFrameException ex) {
			assertThat(core.members()).hasSize(1);
		}
		assertThat(core.members()).hasSizeLessThanOrEqualTo(MemberTable.MAX_MEMBERS);
		assertThat(core.members()).contains(core.self());
		core.tick(2000);
	}

	@Test
	void numbersOfMembersAndBrakesAreBounded() throws Exception {
		GossipCore core = core();
		for (int part = 0; part < 60; part++) {
			Body.Builder body = from("peer-" + part);
			for (int i = 0; i < 100; i++) {
				body.addUpdates(update("h-" + part + "-" + i, 1, 2000 + part * 100 + i));
				body.addBrakes(PeerProtocol.BrakeRecord.newBuilder()
					.setScope("FINGERPRINT")
					.setTarget("t" + part + "-" + i)
					.setOrigin("one"));
			}
			core.receive(body.build(), 1000);
		}
		assertThat(core.members()).hasSizeLessThanOrEqualTo(MemberTable.MAX_MEMBERS);
		assertThat(core.brakes()).hasSize(BrakeSet.MAX_BRAKES);
	}

	@ParameterizedTest
	@EnumSource(Attack.class)
	void portRefusesCountsAndStaysOpen(Attack attack) throws Exception {
		Member self = new Member(new HostId("one"), 1, "127.0.0.1", 0, "zone-a", State.ALIVE, 0);
		try (GossipPeers peers = GossipPeers.builder().self(self).keys(KEYS).start()) {
			for (int round = 0; round < 3; round++) {
				send(peers.self().port(), attack);
			}
			assertThat(peers.traffic().refused()).containsEntry(attack.refusal, 3L);
			assertThat(peers.members()).hasSize(1);
		}
	}

	private static void send(int port, Attack attack) throws Exception {
		try (Socket socket = new Socket("127.0.0.1", port)) {
			socket.setSoTimeout(5000);
			InputStream in = socket.getInputStream();
			byte[] challenge = in.readNBytes(ByteBuffer.wrap(in.readNBytes(4)).getInt());
			socket.getOutputStream().write(attack.frame(new FrameCodec(KEYS).readChallenge(challenge)));
			socket.getOutputStream().flush();
			assertThat(in.read()).isEqualTo(-1);
		}
	}

	@Provide
	Arbitrary<Body> bodies() {
		Arbitrary<String> names = Arbitraries.of("one", "two", "", "h h", "x".repeat(200));
		Arbitrary<Long> numbers = Arbitraries.longs();
		Arbitrary<PeerProtocol.MemberUpdate> updates = Combinators
			.combine(names, numbers, Arbitraries.integers(), Arbitraries.of("127.0.0.1", "::1", "host", "999.1.1.1"))
			.as((name, number, small, ip) -> PeerProtocol.MemberUpdate.newBuilder()
				.setHost(name)
				.setIncarnation(number)
				.setRefutation(small)
				.setIp(ip)
				.setPort(small & 0x1ffff)
				.setZone("zone")
				.setStateValue(small % 6)
				.build());
		return Combinators
			.combine(names, numbers, updates.list().ofMaxSize(5), Arbitraries.bytes().array(byte[].class).ofMaxSize(80),
					numbers.list().ofMaxSize(40), Arbitraries.integers().between(0, 6))
			.as((name, number, list, bytes, digests, kind) -> content(kind, digests, bytes, list,
					from(name).setSenderIncarnation(number)
						.addAllUpdates(list)
						.setRevision(number)
						.setRosterDigest(number)
						.setConfirmed(ByteString.copyFrom(bytes))));
	}

	private static Body content(int kind, List<Long> digests, byte[] bytes, List<PeerProtocol.MemberUpdate> updates,
			Body.Builder body) {
		return switch (kind) {
			case 0 -> body.setPing(PeerProtocol.Ping.newBuilder().setProbe(digests.size())).build();
			case 1 -> body.setAck(PeerProtocol.Ack.newBuilder().setProbe(digests.size())).build();
			case 2 -> body.setRosterSync(PeerProtocol.RosterSync.newBuilder().addAllBuckets(digests)).build();
			case 3 -> body.setBrakeSync(PeerProtocol.BrakeSync.newBuilder().addAllHeld(digests)).build();
			case 4 -> body.setBrakeSync(PeerProtocol.BrakeSync.newBuilder().addAllWanted(digests)).build();
			case 5 -> body.setPayload(PeerProtocol.Payload.newBuilder().setData(ByteString.copyFrom(bytes))).build();
			default -> body.setIndirectPing(updates.isEmpty() ? PeerProtocol.IndirectPing.getDefaultInstance()
					: PeerProtocol.IndirectPing.newBuilder().setTarget(updates.get(0)).build())
				.build();
		};
	}

	private static GossipCore core() {
		Member self = new Member(new HostId("self"), 7, "127.0.0.1", 1000, "zone", State.ALIVE, 0);
		return new GossipCore(self, GossipSettings.DEFAULT, List.of(), new Random(1), new GossipListener() {
		}, 0);
	}

	private static Body.Builder from(String sender) {
		return Body.newBuilder()
			.setSender(sender)
			.setSenderIncarnation(1)
			.setReceiver("self")
			.setReceiverIncarnation(7);
	}

	private static PeerProtocol.MemberUpdate update(String host, long incarnation, int port) {
		return PeerProtocol.MemberUpdate.newBuilder()
			.setHost(host)
			.setIncarnation(incarnation)
			.setIp("127.0.0.1")
			.setPort(port)
			.setZone("zone")
			.build();
	}

	private static PeerKeys keys(String id, int fill) {
		byte[] key = new byte[PeerKeys.MIN_KEY_BYTES];
		Arrays.fill(key, (byte) fill);
		return PeerKeys.builder().accept(id, key).build();
	}

	private enum Attack {

		OVERSIZE(FrameRefusal.OVERSIZE), GARBAGE(FrameRefusal.MALFORMED), FOREIGN_KEY(FrameRefusal.UNKNOWN_KEY),
		WRONG_KEY(FrameRefusal.BAD_CODE), OLD_CHALLENGE(FrameRefusal.BAD_CODE), OTHER_HOST(FrameRefusal.MISADDRESSED);

		private final FrameRefusal refusal;

		Attack(FrameRefusal refusal) {
			this.refusal = refusal;
		}

		private byte[] frame(byte[] nonce) {
			Body body = from("two").build();
			return switch (this) {
				case OVERSIZE -> ByteBuffer.allocate(4).putInt(Integer.MAX_VALUE).array();
				case GARBAGE -> framed(new byte[] { -1, -1, -1, -1, -1 });
				case FOREIGN_KEY -> framed(new FrameCodec(keys("k2", 1)).sign(nonce, 1, body));
				case WRONG_KEY -> framed(new FrameCodec(keys("k1", 2)).sign(nonce, 1, body));
				case OLD_CHALLENGE -> framed(new FrameCodec(KEYS).sign(NONCE, 1, body));
				case OTHER_HOST -> framed(new FrameCodec(KEYS).sign(nonce, 1, body));
			};
		}

		private static byte[] framed(byte[] frame) {
			return ByteBuffer.allocate(4 + frame.length).putInt(frame.length).put(frame).array();
		}

	}

}
