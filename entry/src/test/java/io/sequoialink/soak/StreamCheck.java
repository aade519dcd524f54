package io.sequoialink.soak;

import java.util.Optional;

/**
 * Checks that the events of one stream come whole, once and in order. Confined to the
 * client's thread.
 */
final class StreamCheck {

	private final StringBuilder text = new StringBuilder();

	private int expected = 1;

	private String fault;

	/**
	 * Takes a part of the stream.
	 * @param part bytes as they came
	 */
	void take(String part) {
		this.text.append(part);
		int end = this.text.indexOf("\n\n");
		while (end >= 0) {
			event(this.text.substring(0, end));
			this.text.delete(0, end + 2);
			end = this.text.indexOf("\n\n");
		}
	}

	private void event(String event) {
		if (!event.startsWith("id: " + this.expected + "\n")) {
			this.fault = "event " + this.expected + " expected, got " + event;
		}
		this.expected++;
	}

	/**
	 * Judges a stream that ended as complete.
	 * @return what is wrong with it, empty if nothing is
	 */
	Optional<String> ended() {
		if (this.fault == null && (this.expected != BackendStandin.EVENTS + 1 || this.text.length() > 0)) {
			this.fault = "ended as complete after event " + (this.expected - 1) + " with '" + this.text + "' left";
		}
		return Optional.ofNullable(this.fault);
	}

}
