package io.sequoialink.entry;

import java.time.Instant;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;

/**
 * Formats a log event as one line of JSON with the keys time, level, host, event (the
 * event number, such as SL-3001) and text. Immutable and thread-safe.
 */
final class JsonLogFormatter {

	/** Template of the line that reports dropped lines. */
	static final String LINES_DROPPED_TEMPLATE = "SL-3008 {} log lines were dropped";

	private static final int EVENT_NUMBER_LENGTH = 7;

	private final String host;

	/**
	 * Creates a formatter.
	 * @param host name of the host, written into each line
	 */
	JsonLogFormatter(String host) {
		this.host = host;
	}

	/**
	 * Appends the line of a log event, with its line break.
	 * @param event the event
	 * @param into receives the line
	 */
	void append(ILoggingEvent event, StringBuilder into) {
		String text = event.getFormattedMessage();
		IThrowableProxy thrown = event.getThrowableProxy();
		if (thrown != null) {
			text += ": " + thrown.getClassName() + ": " + thrown.getMessage();
		}
		appendLine(event.getTimeStamp(), event.getLevel().toString(), text, into);
	}

	/**
	 * Appends a line that reports how many lines were dropped.
	 * @param count number of dropped lines
	 * @param into receives the line
	 */
	void appendDropped(long count, StringBuilder into) {
		appendLine(System.currentTimeMillis(), "WARN", LINES_DROPPED_TEMPLATE.replace("{}", String.valueOf(count)),
				into);
	}

	private void appendLine(long millis, String level, String text, StringBuilder into) {
		boolean numbered = text.startsWith("SL-") && text.length() > EVENT_NUMBER_LENGTH;
		into.append("{\"time\":\"").append(Instant.ofEpochMilli(millis)).append("\",\"level\":\"").append(level);
		into.append("\",\"host\":\"");
		appendEscaped(this.host, into);
		if (numbered) {
			into.append("\",\"event\":\"").append(text, 0, EVENT_NUMBER_LENGTH);
		}
		into.append("\",\"text\":\"");
		appendEscaped(numbered ? text.substring(EVENT_NUMBER_LENGTH + 1) : text, into);
		into.append("\"}\n");
	}

	private static void appendEscaped(String text, StringBuilder into) {
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
