package io.sequoialink.daemon.settings;

import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.TextNode;
import io.sequoialink.remote.HttpAddress;
import jakarta.validation.ConstraintViolation;
import jakarta.validation.Validation;
import jakarta.validation.Validator;
import org.hibernate.validator.messageinterpolation.ParameterMessageInterpolator;

/**
 * Makes records from a YAML tree: one key for each component. Confined to one thread. It
 * goes through the whole tree and collects every error; a record with an error is
 * {@code null}, which never leaves this package.
 */
final class Binder {

	private static final Validator VALIDATOR = Validation.byDefaultProvider()
		.configure()
		.messageInterpolator(new ParameterMessageInterpolator())
		.buildValidatorFactory()
		.getValidator();

	private final Problems problems;

	Binder(Problems problems) {
		this.problems = problems;
	}

	<T extends Record> T bind(JsonNode node, Class<T> type, String path) {
		if (!node.isMissingNode() && !node.isNull() && !node.isObject()) {
			this.problems.notAccepted(path, node, "a mapping with the keys " + names(type));
			return null;
		}
		int before = this.problems.count();
		checkKeys(node, type, path);
		RecordComponent[] components = type.getRecordComponents();
		Object[] values = new Object[components.length];
		for (int i = 0; i < components.length; i++) {
			values[i] = component(node.path(components[i].getName()), type, components[i], path);
		}
		return (this.problems.count() == before) ? create(type, components, values, path) : null;
	}

	static List<String> names(Class<? extends Record> type) {
		return Arrays.stream(type.getRecordComponents()).map(RecordComponent::getName).toList();
	}

	static String join(String path, String key) {
		return path.isEmpty() ? key : path + "." + key;
	}

	private void checkKeys(JsonNode node, Class<? extends Record> type, String path) {
		Set<String> unknown = new HashSet<>();
		node.fieldNames().forEachRemaining(unknown::add);
		List<String> known = names(type);
		unknown.removeAll(known);
		unknown.stream().sorted().forEach((key) -> this.problems.unknownKey(join(path, key), key, known));
	}

	private Object component(JsonNode node, Class<?> owner, RecordComponent component, String path) {
		String keyPath = join(path, component.getName());
		JsonNode effective = orDefault(node, component);
		boolean nested = component.getType().isRecord() && !isScalar(component.getType());
		if (effective.isMissingNode() && !nested) {
			if (component.getType() == Optional.class) {
				return Optional.empty();
			}
			this.problems.add(keyPath, "", "is missing", "this key is required");
			return null;
		}
		int before = this.problems.count();
		Object value = value(effective, component.getGenericType(), keyPath);
		if (value != null && this.problems.count() == before) {
			checkRange(owner, component, value, effective, keyPath);
		}
		return value;
	}

	private static JsonNode orDefault(JsonNode node, RecordComponent component) {
		if (!node.isMissingNode() && !node.isNull()) {
			return node;
		}
		Default standard = component.getAnnotation(Default.class);
		return (standard != null) ? TextNode.valueOf(standard.value()) : MissingNode.getInstance();
	}

	private Object value(JsonNode node, Type type, String path) {
		if (type instanceof ParameterizedType generic) {
			Type argument = generic.getActualTypeArguments()[0];
			return (generic.getRawType() == Optional.class) ? Optional.ofNullable(value(node, argument, path))
					: list(node, argument, path);
		}
		Class<?> raw = (Class<?>) type;
		if (raw.isRecord() && !isScalar(raw)) {
			return bind(node, raw.asSubclass(Record.class), path);
		}
		return scalar(node, raw, path);
	}

	private List<Object> list(JsonNode node, Type type, String path) {
		if (!node.isArray()) {
			this.problems.notAccepted(path, node, "a list");
			return null;
		}
		List<Object> values = new ArrayList<>();
		for (int i = 0; i < node.size(); i++) {
			Object value = value(node.get(i), type, path + "[" + i + "]");
			if (value != null) {
				values.add(value);
			}
		}
		return values;
	}

	private Object scalar(JsonNode node, Class<?> type, String path) {
		if (!node.isValueNode()) {
			this.problems.notAccepted(path, node, accepted(type));
			return null;
		}
		try {
			return parse(node.asText(), type);
		}
		catch (IllegalArgumentException ex) {
			this.problems.notAccepted(path, node, accepted(type));
			return null;
		}
	}

	private static boolean isScalar(Class<?> type) {
		return type == ByteSize.class || type == HttpAddress.class;
	}

	private static Object parse(String text, Class<?> type) {
		if (type == String.class) {
			return text;
		}
		if (type == int.class) {
			return Integer.valueOf(text);
		}
		if (type == Duration.class) {
			return Durations.parse(text);
		}
		if (type == ByteSize.class) {
			return ByteSize.parse(text);
		}
		if (type == HttpAddress.class) {
			return HttpAddress.parse(text);
		}
		return parseEnum(text, type);
	}

	private static Object parseEnum(String text, Class<?> type) {
		return Arrays.stream(type.getEnumConstants())
			.filter((constant) -> constant.toString().toLowerCase(Locale.ROOT).equals(text))
			.findFirst()
			.orElseThrow(IllegalArgumentException::new);
	}

	private static String accepted(Class<?> type) {
		if (type == int.class) {
			return "a whole number";
		}
		if (type == Duration.class) {
			return Durations.ACCEPTED;
		}
		if (type == ByteSize.class) {
			return ByteSize.ACCEPTED;
		}
		if (type == HttpAddress.class) {
			return "a numeric address with a port, as 10.0.0.1:8080";
		}
		return type.isEnum() ? "one of " + Arrays.toString(type.getEnumConstants()).toLowerCase(Locale.ROOT) : "a text";
	}

	private void checkRange(Class<?> owner, RecordComponent component, Object value, JsonNode node, String path) {
		for (ConstraintViolation<?> violation : VALIDATOR.validateValue(owner, component.getName(), value)) {
			this.problems.notAccepted(path, node, violation.getMessage());
		}
	}

	private <T extends Record> T create(Class<T> type, RecordComponent[] components, Object[] values, String path) {
		try {
			Class<?>[] types = Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
			return type.getDeclaredConstructor(types).newInstance(values);
		}
		catch (ReflectiveOperationException ex) {
			Throwable cause = Optional.ofNullable(ex.getCause()).orElse(ex);
			this.problems.add(path, "", "is not accepted", String.valueOf(cause.getMessage()));
			return null;
		}
	}

}
