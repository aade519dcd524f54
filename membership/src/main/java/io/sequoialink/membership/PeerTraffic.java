package io.sequoialink.membership;

import java.util.Map;

/**
 * What a host has sent, received, refused and dropped on its peer port since its start.
 * Immutable and thread-safe. Bytes are those of length-prefixed frames, without the
 * headers of TCP and IP.
 *
 * @param bytesSent bytes by duty: {@link #MEMBERSHIP}, {@link #REVISIONS},
 * {@link #BRAKES} or a topic
 * @param messagesSent messages by duty; revisions travel on messages of other duties
 * @param bytesReceived bytes of accepted messages
 * @param messagesReceived accepted messages
 * @param refused refused messages by reason
 * @param dropped messages that were not sent because a bound was reached or a connection
 * failed
 */
public record PeerTraffic(Map<String, Long> bytesSent, Map<String, Long> messagesSent, long bytesReceived,
		long messagesReceived, Map<FrameRefusal, Long> refused, long dropped) {

	/** The duty of probes and of news of members. */
	public static final String MEMBERSHIP = "membership";

	/** The duty of telling which configuration revision each host has folded. */
	public static final String REVISIONS = "revisions";

	/** The duty of spreading brakes. */
	public static final String BRAKES = "brakes";

	public PeerTraffic {
		bytesSent = Map.copyOf(bytesSent);
		messagesSent = Map.copyOf(messagesSent);
		refused = Map.copyOf(refused);
	}

	/**
	 * Returns all bytes sent.
	 * @return bytes over all duties
	 */
	public long totalBytesSent() {
		return this.bytesSent.values().stream().mapToLong(Long::longValue).sum();
	}

}
