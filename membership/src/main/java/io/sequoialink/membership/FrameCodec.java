package io.sequoialink.membership;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.sequoialink.membership.wire.PeerProtocol.Body;
import io.sequoialink.membership.wire.PeerProtocol.Challenge;
import io.sequoialink.membership.wire.PeerProtocol.SignedFrame;

/**
 * Writes and reads signed frames. A code covers the accepting host's random challenge, so
 * a frame counts on one connection only, and a sequence number without gaps, so it counts
 * once there; no clock is involved. Not thread-safe.
 */
final class FrameCodec {

	static final int PROTOCOL_VERSION = 1;

	static final int NONCE_BYTES = 16;

	static final int CODE_BYTES = 16;

	static final int ENVELOPE_BYTES = 8 * 1024;

	static final int MAX_FRAME_BYTES = Peers.MAX_PAYLOAD_BYTES + ENVELOPE_BYTES;

	private static final String ALGORITHM = "HmacSHA256";

	private final PeerKeys keys;

	private final Map<String, Mac> macs = new HashMap<>();

	FrameCodec(PeerKeys keys) {
		this.keys = keys;
	}

	byte[] challenge(byte[] nonce) {
		return Challenge.newBuilder()
			.setVersion(PROTOCOL_VERSION)
			.setNonce(ByteString.copyFrom(nonce))
			.build()
			.toByteArray();
	}

	byte[] readChallenge(byte[] frame) throws RefusedFrameException {
		try {
			Challenge challenge = Challenge.parseFrom(frame);
			checkVersion(challenge.getVersion());
			if (challenge.getNonce().size() != NONCE_BYTES) {
				throw new RefusedFrameException(FrameRefusal.MALFORMED, "challenge of another length");
			}
			return challenge.getNonce().toByteArray();
		}
		catch (InvalidProtocolBufferException ex) {
			throw new RefusedFrameException(FrameRefusal.MALFORMED, "not a challenge");
		}
	}

	byte[] sign(byte[] nonce, long sequence, Body body) {
		byte[] bytes = body.toByteArray();
		String keyId = this.keys.activeId();
		byte[] code = code(keyId, this.keys.key(keyId).orElseThrow(), nonce, sequence, bytes);
		return SignedFrame.newBuilder()
			.setVersion(PROTOCOL_VERSION)
			.setKeyId(keyId)
			.setSequence(sequence)
			.setBody(ByteString.copyFrom(bytes))
			.setCode(ByteString.copyFrom(code))
			.build()
			.toByteArray();
	}

	/**
	 * Checks and reads a frame.
	 * @param nonce the challenge of the frame's connection
	 * @param sequence the number that the frame must have
	 * @param bytes the frame
	 * @return the body
	 * @throws RefusedFrameException if any check fails
	 */
	Body read(byte[] nonce, long sequence, byte[] bytes) throws RefusedFrameException {
		try {
			SignedFrame frame = SignedFrame.parseFrom(bytes);
			checkVersion(frame.getVersion());
			byte[] key = this.keys.key(frame.getKeyId())
				.orElseThrow(() -> new RefusedFrameException(FrameRefusal.UNKNOWN_KEY, "the key is not accepted"));
			byte[] body = frame.getBody().toByteArray();
			byte[] code = code(frame.getKeyId(), key, nonce, frame.getSequence(), body);
			if (!MessageDigest.isEqual(code, frame.getCode().toByteArray())) {
				throw new RefusedFrameException(FrameRefusal.BAD_CODE, "the authentication code is wrong");
			}
			if (frame.getSequence() != sequence) {
				throw new RefusedFrameException(FrameRefusal.REPLAYED, "the sequence number is not the next one");
			}
			return Body.parseFrom(body);
		}
		catch (InvalidProtocolBufferException ex) {
			throw new RefusedFrameException(FrameRefusal.MALFORMED, "not a frame of this protocol");
		}
	}

	private void checkVersion(int version) throws RefusedFrameException {
		if (version != PROTOCOL_VERSION) {
			throw new RefusedFrameException(FrameRefusal.VERSION, "protocol version " + version);
		}
	}

	private byte[] code(String keyId, byte[] key, byte[] nonce, long sequence, byte[] body) {
		Mac mac = this.macs.computeIfAbsent(keyId, (id) -> mac(key));
		mac.update(nonce);
		mac.update(ByteBuffer.allocate(Long.BYTES).putLong(sequence).array());
		return Arrays.copyOf(mac.doFinal(body), CODE_BYTES);
	}

	private static Mac mac(byte[] key) {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(new SecretKeySpec(key, ALGORITHM));
			return mac;
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("this Java runtime has no " + ALGORITHM, ex);
		}
	}

}
