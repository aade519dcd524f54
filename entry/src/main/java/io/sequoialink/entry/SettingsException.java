package io.sequoialink.entry;

import java.util.List;

/**
 * The settings file can't be used. Carries every error that was found.
 */
public final class SettingsException extends Exception {

	private final List<String> errors;

	/**
	 * Creates the exception.
	 * @param errors the errors, each naming file and field
	 */
	public SettingsException(List<String> errors) {
		super(String.join("; ", errors));
		this.errors = List.copyOf(errors);
	}

	/**
	 * Returns all errors.
	 * @return the errors
	 */
	public List<String> errors() {
		return this.errors;
	}

}
