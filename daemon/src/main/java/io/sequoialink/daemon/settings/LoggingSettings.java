package io.sequoialink.daemon.settings;

/**
 * How logs are written. Immutable and thread-safe.
 *
 * @param format the form of a line
 * @param level the least important level that is written
 */
public record LoggingSettings(@Default("text") Format format, @Default("info") Level level) {

	/** The form of a line. */
	public enum Format {

		/** A line for people. */
		TEXT,

		/** A JSON object for programs. */
		JSON

	}

	/** Levels, the most important first. */
	public enum Level {

		/** Failures that need a person. */
		ERROR,

		/** Also what the system got over by itself. */
		WARN,

		/** Also changes of state. */
		INFO,

		/** Also single decisions. */
		DEBUG

	}

}
