package io.sequoialink.membership;

import java.util.List;
import java.util.function.Consumer;

import io.sequoialink.model.Brake;

/**
 * The other entry hosts. Implementations are thread-safe; no method blocks. Messages may
 * be lost, repeated or late, never forged.
 */
public interface Peers extends AutoCloseable {

	/**
	 * Returns this host as its peers see it.
	 * @return this host
	 */
	Member self();

	/**
	 * Returns all known members, this host among them, in the order of their host ids.
	 * @return the members that are not given up
	 */
	List<Member> members();

	/**
	 * Spreads a brake to every member.
	 * @param brake the brake
	 */
	void spread(Brake brake);

	/**
	 * Returns every brake that this host knows.
	 * @return the brakes, each once
	 */
	List<Brake> brakes();

	/**
	 * Sends an application payload on one topic to some members, once each.
	 * @param topic the topic
	 * @param payload the payload, at most {@link #MAX_PAYLOAD_BYTES}
	 * @param receivers the members
	 */
	void send(String topic, byte[] payload, List<Member> receivers);

	/**
	 * Sets the consumer of a topic. It is called on a network thread and must not block.
	 * @param topic the topic
	 * @param consumer takes the sender with the payload
	 */
	void subscribe(String topic, Consumer<PeerMessage> consumer);

	/**
	 * Announces to its peers which configuration revision this host has folded.
	 * @param revision the offset of the last folded record
	 */
	void announceRevision(long revision);

	/**
	 * Announces to its peers that this host is leaving, then stops.
	 */
	@Override
	void close();

	/** The largest payload, in bytes. */
	int MAX_PAYLOAD_BYTES = 256 * 1024;

	/**
	 * A payload from a peer. Immutable by convention: the payload is never written.
	 *
	 * @param sender the sending member
	 * @param payload the payload
	 */
	record PeerMessage(Member sender, byte[] payload) {
	}

}
