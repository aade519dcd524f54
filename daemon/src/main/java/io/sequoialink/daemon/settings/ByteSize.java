package io.sequoialink.daemon.settings;

import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A number of bytes. Immutable and thread-safe; never negative.
 *
 * @param bytes the number
 */
public record ByteSize(long bytes) {

	/** What is accepted, for messages. */
	static final String ACCEPTED = "a size with unit B, KiB or MiB, as 64KiB";

	private static final Pattern FORM = Pattern.compile("(\\d{1,9}) ?(B|KiB|MiB)");

	private static final Map<String, Long> UNITS = Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20);

	public ByteSize {
		if (bytes < 0) {
			throw new IllegalArgumentException("a size of " + bytes + " bytes is not accepted");
		}
	}

	/**
	 * Parses a size.
	 * @param text as {@code 64KiB}
	 * @return the size
	 * @throws IllegalArgumentException if the unit is missing or wrong
	 */
	public static ByteSize parse(String text) {
		Matcher matcher = FORM.matcher(text);
		if (!matcher.matches()) {
			throw new IllegalArgumentException(ACCEPTED);
		}
		return new ByteSize(Long.parseLong(matcher.group(1)) * UNITS.get(matcher.group(2)));
	}

}
