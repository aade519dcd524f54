package io.sequoialink.decision.crash;

/**
 * How requests with one trait were involved in the crash of a server. Immutable.
 *
 * @param sentNanos monotonic time at which the last of them was sent to the server
 * @param answering whether the head of a response to one of them had come, so that the
 * server crashed while it began that response
 */
public record Involvement(long sentNanos, boolean answering) {

	/**
	 * Combines what is known of two requests, or from two hosts.
	 * @param other the other involvement
	 * @return the later time, and whether either was being answered
	 */
	public Involvement merge(Involvement other) {
		return new Involvement(Math.max(this.sentNanos, other.sentNanos), this.answering || other.answering);
	}

}
