package io.sequoialink.daemon.settings;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Collects the errors of one file. Confined to one thread.
 */
final class Problems {

	private static final int MAX_SHOWN_CHARS = 60;

	private final String file;

	private final List<SettingsError> errors = new ArrayList<>();

	Problems(String file) {
		this.file = file;
	}

	void add(String path, Object value, String problem, String accepted) {
		this.errors.add(new SettingsError(this.file, path, shown(value), problem, accepted));
	}

	void notAccepted(String path, Object value, String accepted) {
		add(path, value, "is not accepted", "use " + accepted);
	}

	void unknownKey(String path, String key, Collection<String> known) {
		String all = known.stream().sorted().collect(Collectors.joining(", "));
		Optional<String> nearest = NearestName.of(key, known);
		add(path, "", "unknown key",
				nearest.map((name) -> "did you mean '" + name + "'? ").orElse("") + "accepted are " + all);
	}

	void dangling(String path, String value, Collection<String> known) {
		Optional<String> nearest = NearestName.of(value, known);
		add(path, value, "does not exist",
				nearest.map((name) -> "did you mean '" + name + "'? ").orElse("") + "defined are "
						+ (known.isEmpty() ? "none" : known.stream().sorted().collect(Collectors.joining(", "))));
	}

	int count() {
		return this.errors.size();
	}

	void throwIfAny() throws SettingsException {
		if (!this.errors.isEmpty()) {
			throw new SettingsException(this.errors);
		}
	}

	private static String shown(Object value) {
		String text = (value instanceof JsonNode node && node.isValueNode()) ? node.asText() : String.valueOf(value);
		return (text.length() > MAX_SHOWN_CHARS) ? text.substring(0, MAX_SHOWN_CHARS) + "..." : text;
	}

}
