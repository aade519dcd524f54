package io.sequoialink.daemon.settings;

import java.time.Duration;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads durations as people write them. Stateless and thread-safe.
 */
final class Durations {

	/** What is accepted, for messages. */
	static final String ACCEPTED = "a duration with unit ms, s, m or h, as 250ms";

	private static final Pattern FORM = Pattern.compile("(\\d{1,9}) ?(ms|s|m|h)");

	private static final Map<String, Duration> UNITS = Map.of("ms", Duration.ofMillis(1), "s", Duration.ofSeconds(1),
			"m", Duration.ofMinutes(1), "h", Duration.ofHours(1));

	private Durations() {
	}

	static Duration parse(String text) {
		Matcher matcher = FORM.matcher(text);
		if (!matcher.matches()) {
			throw new IllegalArgumentException(ACCEPTED);
		}
		return UNITS.get(matcher.group(2)).multipliedBy(Long.parseLong(matcher.group(1)));
	}

}
