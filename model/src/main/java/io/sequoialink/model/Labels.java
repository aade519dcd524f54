package io.sequoialink.model;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Labels of a configuration object: a map of keys to values, sorted by key. Immutable and
 * thread-safe.
 */
public final class Labels {

	private static final Labels NONE = new Labels(Map.of());

	private final Map<String, String> values;

	private Labels(Map<String, String> values) {
		this.values = Collections.unmodifiableMap(new TreeMap<>(values));
	}

	/**
	 * Returns labels with the given keys and values.
	 * @param values map of keys to values; both must be valid identifiers
	 * @return the labels
	 */
	@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
	public static Labels of(Map<String, String> values) {
		if (values == null || values.isEmpty()) {
			return NONE;
		}
		values.forEach((key, value) -> {
			Identifiers.check("label key", key);
			Identifiers.check("label value", value);
		});
		return new Labels(values);
	}

	/**
	 * Returns labels without any key.
	 * @return the empty labels
	 */
	public static Labels none() {
		return NONE;
	}

	/**
	 * Returns a copy with one key set.
	 * @param key the key to set
	 * @param value its new value
	 * @return the changed copy
	 */
	public Labels with(String key, String value) {
		Map<String, String> copy = new TreeMap<>(this.values);
		copy.put(key, value);
		return of(copy);
	}

	/**
	 * Returns the value of a key.
	 * @param key the key to look up
	 * @return its value, or empty if the key is absent
	 */
	public Optional<String> value(String key) {
		return Optional.ofNullable(this.values.get(key));
	}

	/**
	 * Returns all keys with their values.
	 * @return an unmodifiable map, sorted by key
	 */
	@JsonValue
	public Map<String, String> asMap() {
		return this.values;
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof Labels labels && this.values.equals(labels.values);
	}

	@Override
	public int hashCode() {
		return this.values.hashCode();
	}

	@Override
	public String toString() {
		return this.values.toString();
	}

}
