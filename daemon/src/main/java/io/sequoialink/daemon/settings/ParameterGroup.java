package io.sequoialink.daemon.settings;

import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Modifier;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Reads a group of policy parameters: a record whose constructor checks its ranges.
 * Immutable and thread-safe. A component whose name ends in {@code Millis} is written
 * without it and with a unit, as {@code silent: 3s}.
 */
final class ParameterGroup {

	private static final String MILLIS = "Millis";

	private static final String USE = ": use ";

	private final Class<? extends Record> type;

	private final Map<String, Integer> indexes = new LinkedHashMap<>();

	private final Constructor<?> constructor;

	private final Object[] defaults;

	ParameterGroup(Class<? extends Record> type) {
		this.type = type;
		RecordComponent[] components = type.getRecordComponents();
		this.defaults = new Object[components.length];
		try {
			Object standard = standard(type);
			for (int i = 0; i < components.length; i++) {
				this.indexes.put(keyOf(components[i]), i);
				this.defaults[i] = components[i].getAccessor().invoke(standard);
			}
			this.constructor = type.getDeclaredConstructor(
					Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new));
		}
		catch (ReflectiveOperationException ex) {
			throw new IllegalStateException(type.getSimpleName() + " has no defaults", ex);
		}
	}

	/**
	 * Returns the keys with their defaults.
	 * @return an ordered map
	 */
	Map<String, String> keys() {
		Map<String, String> keys = new LinkedHashMap<>();
		this.indexes.forEach((key, index) -> keys.put(key, isMillis(index)
				? ((Number) this.defaults[index]).longValue() + "ms" : this.defaults[index].toString()));
		return keys;
	}

	/**
	 * Reads the group. If its values are refused together, each is tried alone among the
	 * defaults, so that every bad one is found.
	 * @param node the group's mapping, or a missing node for the defaults
	 * @param path the group's path
	 * @param problems takes the errors
	 * @return the record, or {@code null} after an error
	 */
	Object read(JsonNode node, String path, Problems problems) {
		if (!node.isMissingNode() && !node.isNull() && !node.isObject()) {
			problems.notAccepted(path, node, "a mapping with the keys " + this.indexes.keySet());
			return null;
		}
		Object[] all = this.defaults.clone();
		Map<Integer, JsonNode> given = new LinkedHashMap<>();
		node.properties()
			.forEach((field) -> readOne(field.getKey(), field.getValue(), path, problems).ifPresent((value) -> {
				given.put(this.indexes.get(field.getKey()), field.getValue());
				all[this.indexes.get(field.getKey())] = value;
			}));
		try {
			return this.constructor.newInstance(all);
		}
		catch (InvocationTargetException ex) {
			blame(all, given, path, problems, accepted(ex));
			return null;
		}
		catch (ReflectiveOperationException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private Optional<Object> readOne(String key, JsonNode node, String path, Problems problems) {
		Integer index = this.indexes.get(key);
		if (index == null) {
			problems.unknownKey(Binder.join(path, key), key, this.indexes.keySet());
			return Optional.empty();
		}
		Class<?> raw = this.constructor.getParameterTypes()[index];
		Optional<Object> value = parse(node, index, raw);
		if (value.isEmpty()) {
			problems.notAccepted(Binder.join(path, key), node,
					isMillis(index) ? Durations.ACCEPTED : (raw == double.class) ? "a number" : "a whole number");
		}
		return value;
	}

	private void blame(Object[] all, Map<Integer, JsonNode> given, String path, Problems problems, String together) {
		int before = problems.count();
		given.forEach((index, node) -> {
			Object[] alone = this.defaults.clone();
			alone[index] = all[index];
			try {
				this.constructor.newInstance(alone);
			}
			catch (InvocationTargetException ex) {
				problems.add(Binder.join(path, keyOf(this.type.getRecordComponents()[index])), node, "is not accepted",
						accepted(ex));
			}
			catch (ReflectiveOperationException ex) {
				throw new IllegalStateException(ex);
			}
		});
		if (problems.count() == before) {
			problems.add(path, "", "is not accepted", together);
		}
	}

	private Optional<Object> parse(JsonNode node, int index, Class<?> raw) {
		try {
			String text = node.asText();
			Number number = isMillis(index) ? (Number) Durations.parse(text).toMillis() : Double.valueOf(text);
			boolean whole = number.doubleValue() == Math.rint(number.doubleValue());
			if (raw == double.class) {
				return Optional.of(number.doubleValue());
			}
			return whole ? Optional.of((raw == int.class) ? (Object) number.intValue() : number.longValue())
					: Optional.empty();
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	private boolean isMillis(int index) {
		return name(index).endsWith(MILLIS);
	}

	private String name(int index) {
		return this.type.getRecordComponents()[index].getName();
	}

	private static String keyOf(RecordComponent component) {
		String name = component.getName();
		return name.endsWith(MILLIS) ? name.substring(0, name.length() - MILLIS.length()) : name;
	}

	private static String accepted(InvocationTargetException ex) {
		String refusal = String.valueOf(ex.getCause().getMessage());
		int use = refusal.indexOf(USE);
		return (use >= 0) ? refusal.substring(use + 2) : refusal;
	}

	private static Object standard(Class<?> type) throws ReflectiveOperationException {
		for (Method method : type.getDeclaredMethods()) {
			if (Modifier.isStatic(method.getModifiers()) && "defaults".equals(method.getName())) {
				return method.invoke(null);
			}
		}
		return type.getField("DEFAULT").get(null);
	}

}
