package io.sequoialink.soak;

import java.util.Optional;

/**
 * Checks that a client receives the events of one stream completely, exactly once and in
 * order. Used by one thread only.
 */
final class EventStreamChecker {

	private final StringBuilder buffer = new StringBuilder();

	private int nextId = 1;

	private String error;

	/**
	 * Adds received text and checks the events that it completes.
	 * @param part text as received, cut at any position
	 */
	void append(String part) {
		this.buffer.append(part);
		int end = this.buffer.indexOf("\n\n");
		while (end >= 0) {
			checkEvent(this.buffer.substring(0, end));
			this.buffer.delete(0, end + 2);
			end = this.buffer.indexOf("\n\n");
		}
	}

	private void checkEvent(String event) {
		if (!event.startsWith("id: " + this.nextId + "\n")) {
			this.error = "expected event " + this.nextId + " but got " + event;
		}
		this.nextId++;
	}

	/**
	 * Checks a stream that the server ended regularly.
	 * @return description of the error, empty if the stream is correct
	 */
	Optional<String> finish() {
		if (this.error == null
				&& (this.nextId != SimulatedBackendServer.STREAM_EVENTS + 1 || this.buffer.length() > 0)) {
			this.error = "ended regularly after event " + (this.nextId - 1) + " with '" + this.buffer + "' left over";
		}
		return Optional.ofNullable(this.error);
	}

}
