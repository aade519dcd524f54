package io.sequoialink.entry;

import java.time.Instant;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;

/**
 * Writes a log event as one line of JSON: time, level, host, number of the event and
 * text. Immutable and safe for any thread.
 */
final class JsonLine {

	/** Number of the event that reports dropped lines. */
	static final String LINES_DROPPED = "SL-3008 {} log lines were dropped";

	private static final int EVENT_LENGTH = 7;

	private final String host;

	/**
	 * Creates the form.
	 * @param host name of the host
	 */
	JsonLine(String host) {
		this.host = host;
	}

	/**
	 * Appends an event.
	 * @param event the event
	 * @param into where to append
	 */
	void append(ILoggingEvent event, StringBuilder into) {
		String text = event.getFormattedMessage();
		IThrowableProxy thrown = event.getThrowableProxy();
		if (thrown != null) {
			text += ": " + thrown.getClassName() + ": " + thrown.getMessage();
		}
		line(event.getTimeStamp(), event.getLevel().toString(), text, into);
	}

	/**
	 * Appends a line on dropped lines.
	 * @param count how many were dropped
	 * @param into where to append
	 */
	void appendDropped(long count, StringBuilder into) {
		line(System.currentTimeMillis(), "WARN", LINES_DROPPED.replace("{}", String.valueOf(count)), into);
	}

	private void line(long millis, String level, String text, StringBuilder into) {
		boolean numbered = text.startsWith("SL-") && text.length() > EVENT_LENGTH;
		into.append("{\"time\":\"").append(Instant.ofEpochMilli(millis)).append("\",\"level\":\"").append(level);
		into.append("\",\"host\":\"");
		escape(this.host, into);
		if (numbered) {
			into.append("\",\"event\":\"").append(text, 0, EVENT_LENGTH);
		}
		into.append("\",\"text\":\"");
		escape(numbered ? text.substring(EVENT_LENGTH + 1) : text, into);
		into.append("\"}\n");
	}

	private static void escape(String text, StringBuilder into) {
		for (int i = 0; i < text.length(); i++) {
			char next = text.charAt(i);
			if (next == '"' || next == '\\') {
				into.append('\\').append(next);
			}
			else if (next < ' ') {
				into.append(' ');
			}
			else {
				into.append(next);
			}
		}
	}

}
