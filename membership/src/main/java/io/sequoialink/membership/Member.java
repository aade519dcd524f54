package io.sequoialink.membership;

import java.util.Objects;

import io.sequoialink.model.HostId;

/**
 * An entry host as its peers see it. Immutable and thread-safe. A restarted host has a
 * higher incarnation, also at the same address.
 *
 * @param host the host
 * @param incarnation start time of the host's process, epoch milliseconds
 * @param ip numeric address of its peer port
 * @param port its peer port
 * @param zone its availability zone
 * @param state what is known of it
 * @param viewRevision the newest configuration revision that it was seen to have folded
 */
public record Member(HostId host, long incarnation, String ip, int port, String zone, State state, long viewRevision) {

	public Member {
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(ip, "ip");
		Objects.requireNonNull(zone, "zone");
		Objects.requireNonNull(state, "state");
	}

	/** What is known of a member. */
	public enum State {

		/** It answers. */
		ALIVE,

		/** It did not answer, itself or through others; it may be paused. */
		SUSPECT,

		/** It is shutting down. */
		LEAVING,

		/** It was given up. */
		DEAD

	}

}
