package io.sequoialink.gateway.permit;

import java.util.OptionalDouble;
import java.util.function.Consumer;

import io.sequoialink.decision.limits.PermitDecision;
import io.sequoialink.gateway.fleet.ServerEntry;

/**
 * Permits to send requests to backend servers that take a limited number from all hosts
 * together. Servers are identified by the hash of their incarnation. Called on the event
 * loop.
 */
public interface RequestPermits {

	/** Knows of no limited server. */
	RequestPermits NONE = new RequestPermits() {
		@Override
		public boolean anyLimited() {
			return false;
		}

		@Override
		public OptionalDouble limitPerSecond(long server) {
			return OptionalDouble.empty();
		}

		@Override
		public long earliestNanos(long server) {
			return 0;
		}

		@Override
		public void acquire(long server, long maxWaitNanos, Consumer<PermitDecision> receiver) {
			receiver.accept(new PermitDecision(true, 0, 0));
		}

		@Override
		public int hosts() {
			return 1;
		}
	};

	/**
	 * Returns whether any server is limited.
	 * @return false if every other question can be left out
	 */
	boolean anyLimited();

	/**
	 * Returns the limit of a server.
	 * @param server hash of the server's incarnation
	 * @return requests per second from all hosts together; empty without a limit
	 */
	OptionalDouble limitPerSecond(long server);

	/**
	 * Returns whether requests to a server need a permit.
	 * @param server hash of the server's incarnation
	 * @return whether the server is limited
	 */
	default boolean limited(long server) {
		return limitPerSecond(server).isPresent();
	}

	/**
	 * Returns the time before which no permit can be had, as far as known here.
	 * @param server hash of the server's incarnation
	 * @return time from now in nanoseconds, 0 if one may be had at once
	 */
	long earliestNanos(long server);

	/**
	 * Returns how long a server stays cold and limited for that.
	 * @param server hash of the server's incarnation
	 * @return time from now in nanoseconds, 0 unless it is cold
	 */
	default long coldNanos(long server) {
		return 0;
	}

	/**
	 * Returns whether this host has learnt that a server is cold after a given time, so
	 * that a permit from before is no longer valid.
	 * @param server hash of the server's incarnation
	 * @param nanos monotonic time in nanoseconds
	 * @return whether it is cold and was not known to be so at that time
	 */
	default boolean turnedColdSince(long server, long nanos) {
		return false;
	}

	/**
	 * Asks for a permit for one request.
	 * @param server hash of the server's incarnation
	 * @param maxWaitNanos longest time until the permit becomes valid, in nanoseconds
	 * @param receiver receives the decision, at once or within a fraction of a second
	 */
	void acquire(long server, long maxWaitNanos, Consumer<PermitDecision> receiver);

	/**
	 * Records whether an answer says that its server is brittle: that it falls over if it
	 * must turn away too many requests.
	 * @param server the server
	 * @param rejections requests that it can turn away in a second; empty if the answer
	 * does not say so
	 * @param sentNanos monotonic time at which the request was sent, in nanoseconds
	 */
	default void heard(ServerEntry server, OptionalDouble rejections, long sentNanos) {
	}

	/**
	 * A request of this host at a server has ended.
	 * @param server hash of the server's incarnation
	 */
	default void ended(long server) {
	}

	/**
	 * A server has turned away a request of this host, because it has no room.
	 * @param server hash of the server's incarnation
	 */
	default void turnedAway(long server) {
	}

	/**
	 * Returns the number of hosts that share the limits.
	 * @return known hosts, this one included
	 */
	int hosts();

}
