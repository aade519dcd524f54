package io.sequoialink.model;

import java.util.regex.Pattern;

/**
 * Validates the text of identifiers.
 */
public final class Identifiers {

	/** The longest accepted identifier, in characters. */
	public static final int MAX_LENGTH = 128;

	private static final Pattern ACCEPTED = Pattern.compile("[A-Za-z0-9._:-]{1," + MAX_LENGTH + "}");

	private Identifiers() {
	}

	/**
	 * Returns the text unchanged when it is a valid identifier.
	 * @param noun kind of the identified thing, for the error message
	 * @param value the text to check
	 * @return the value
	 * @throws IllegalArgumentException if the text is {@code null}, empty, too long or
	 * contains another character than letters, digits, '.', '_', ':' or '-'
	 */
	public static String check(String noun, String value) {
		if (value == null || !ACCEPTED.matcher(value).matches()) {
			throw new IllegalArgumentException(noun + " identifier '" + abbreviate(value)
					+ "' is not accepted: use 1 to " + MAX_LENGTH + " letters, digits, '.', '_', ':' or '-'");
		}
		return value;
	}

	/**
	 * Returns whether the text is a valid identifier.
	 * @param value the text to test, may be {@code null}
	 * @return {@code true} if {@link #check} would accept it
	 */
	public static boolean valid(String value) {
		return value != null && ACCEPTED.matcher(value).matches();
	}

	private static String abbreviate(String value) {
		if (value == null || value.length() <= MAX_LENGTH) {
			return value;
		}
		return value.substring(0, MAX_LENGTH) + "...";
	}

}
