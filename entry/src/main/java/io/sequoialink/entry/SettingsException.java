package io.sequoialink.entry;

import java.util.List;

/**
 * Thrown if the settings file is missing, unreadable or invalid. Contains all errors
 * found.
 */
public final class SettingsException extends Exception {

	private final List<String> errors;

	/**
	 * Creates the exception.
	 * @param errors the errors, each naming the file or field
	 */
	public SettingsException(List<String> errors) {
		super(String.join("; ", errors));
		this.errors = List.copyOf(errors);
	}

	/**
	 * Returns all errors found.
	 * @return one text for each error
	 */
	public List<String> errors() {
		return this.errors;
	}

}
