package io.sequoialink.daemon.settings;

import java.util.Objects;
import java.util.Optional;

/**
 * One thing that is wrong with a file. Immutable and thread-safe.
 *
 * @param file the file's name
 * @param path the path of the key, as {@code keys.peer.active} or {@code seeds[1]}
 * @param value the value as it stands in the file, or empty text if there is none
 * @param problem what is wrong with it
 * @param accepted what would be accepted
 */
public record SettingsError(String file, String path, String value, String problem, String accepted) {

	public SettingsError {
		Objects.requireNonNull(file, "file");
		Objects.requireNonNull(path, "path");
		value = Optional.ofNullable(value).orElse("");
		Objects.requireNonNull(problem, "problem");
		Objects.requireNonNull(accepted, "accepted");
	}

	@Override
	public String toString() {
		String place = this.path.isEmpty() ? this.file : this.file + ": " + this.path;
		String shown = this.value.isEmpty() ? "" : "'" + this.value + "' ";
		return place + ": " + shown + this.problem + ": " + this.accepted;
	}

}
