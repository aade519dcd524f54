package io.sequoialink.model;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;

/**
 * The shared JSON mapper of this project. Records are written by component name,
 * durations in ISO-8601, map entries sorted by key, and absent values are left out; text
 * after the end of a value is an error. Thread-safe.
 */
public final class Json {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.addModule(new Jdk8Module())
		.addModule(new JavaTimeModule())
		.disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
		.disable(SerializationFeature.WRITE_DURATIONS_AS_TIMESTAMPS)
		.enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.serializationInclusion(JsonInclude.Include.NON_ABSENT)
		.build();

	private Json() {
	}

	/**
	 * Returns the shared mapper. Callers must not reconfigure it.
	 * @return the mapper
	 */
	public static ObjectMapper mapper() {
		return MAPPER;
	}

	/**
	 * Writes a value as JSON.
	 * @param value value of a type of this project
	 * @return its JSON text
	 */
	public static String write(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(
					"a value of type " + value.getClass().getName() + " cannot be written as JSON", ex);
		}
	}

}
