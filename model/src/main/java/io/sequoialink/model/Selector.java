package io.sequoialink.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A label selector: a list of requirements on {@link Labels} that must all hold, for
 * example {@code tier=small, family in (caption, tagline), !retired}. An empty text
 * selects every object. Immutable and thread-safe.
 */
public final class Selector {

	private static final String NAME = "[A-Za-z0-9._:-]{1,128}";

	private static final Pattern EQUALITY = Pattern.compile("(" + NAME + ")\\s*(=|==|!=)\\s*(" + NAME + ")");

	private static final Pattern MEMBERSHIP = Pattern.compile("(" + NAME + ")\\s+(in|notin)\\s*\\(([^()]*)\\)");

	private static final Pattern PRESENCE = Pattern.compile("(!?)\\s*(" + NAME + ")");

	private static final Selector EVERYTHING = new Selector("", List.of());

	private final String text;

	private final List<Requirement> requirements;

	private Selector(String text, List<Requirement> requirements) {
		this.text = text;
		this.requirements = List.copyOf(requirements);
	}

	/**
	 * Parses a selector.
	 * @param text requirements separated by commas
	 * @return the selector
	 * @throws IllegalArgumentException if a requirement is malformed; the message quotes
	 * the requirement
	 */
	@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
	public static Selector parse(String text) {
		if (text == null || text.isBlank()) {
			return EVERYTHING;
		}
		List<Requirement> requirements = new ArrayList<>();
		for (String part : splitOutsideParentheses(text)) {
			requirements.add(parseRequirement(part.strip()));
		}
		return new Selector(text.strip(), requirements);
	}

	/**
	 * Returns the selector that every object matches.
	 * @return the empty selector
	 */
	public static Selector everything() {
		return EVERYTHING;
	}

	/**
	 * Returns whether the labels satisfy every requirement.
	 * @param labels the labels of an object
	 * @return {@code true} if all requirements are satisfied
	 */
	public boolean matches(Labels labels) {
		for (Requirement requirement : this.requirements) {
			if (!requirement.matches(labels)) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Returns the text from which the selector was parsed; this is its JSON form.
	 * @return the selector's text
	 */
	@JsonValue
	public String text() {
		return this.text;
	}

	private static List<String> splitOutsideParentheses(String text) {
		List<String> parts = new ArrayList<>();
		int depth = 0;
		int start = 0;
		for (int i = 0; i < text.length(); i++) {
			char c = text.charAt(i);
			depth += (c == '(') ? 1 : (c == ')') ? -1 : 0;
			if (c == ',' && depth == 0) {
				parts.add(text.substring(start, i));
				start = i + 1;
			}
		}
		parts.add(text.substring(start));
		return parts;
	}

	private static Requirement parseRequirement(String part) {
		Matcher equality = EQUALITY.matcher(part);
		if (equality.matches()) {
			return new Requirement(equality.group(1), Set.of(equality.group(3)), "!=".equals(equality.group(2)), false);
		}
		Matcher membership = MEMBERSHIP.matcher(part);
		if (membership.matches()) {
			return new Requirement(membership.group(1), values(membership.group(3)),
					"notin".equals(membership.group(2)), false);
		}
		Matcher presence = PRESENCE.matcher(part);
		if (presence.matches()) {
			return new Requirement(presence.group(2), Set.of(), !presence.group(1).isEmpty(), true);
		}
		throw new IllegalArgumentException("selector requirement '" + part
				+ "' is not accepted: use key=value, key!=value, key in (a, b), key notin (a, b), key or !key");
	}

	private static Set<String> values(String list) {
		Set<String> values = new TreeSet<>();
		for (String value : list.split(",")) {
			values.add(Identifiers.check("selector value", value.strip()));
		}
		return values;
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof Selector selector && this.text.equals(selector.text);
	}

	@Override
	public int hashCode() {
		return this.text.hashCode();
	}

	@Override
	public String toString() {
		return this.text;
	}

	private record Requirement(String key, Set<String> values, boolean negated, boolean presenceOnly) {

		private boolean matches(Labels labels) {
			boolean satisfied = labels.value(this.key)
				.map((value) -> this.presenceOnly || this.values.contains(value))
				.orElse(false);
			return satisfied != this.negated;
		}

	}

}
