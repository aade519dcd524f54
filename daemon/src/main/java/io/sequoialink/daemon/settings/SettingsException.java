package io.sequoialink.daemon.settings;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A file was not accepted. Immutable; it holds every error of the file, not just the
 * first.
 */
public class SettingsException extends Exception {

	private final transient List<SettingsError> errors;

	public SettingsException(List<SettingsError> errors) {
		super(errors.stream().map(SettingsError::toString).collect(Collectors.joining("\n")));
		this.errors = List.copyOf(errors);
	}

	/**
	 * Returns everything that is wrong.
	 * @return at least one error, in the order of the checks
	 */
	public List<SettingsError> errors() {
		return this.errors;
	}

}
