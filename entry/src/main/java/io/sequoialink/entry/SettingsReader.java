package io.sequoialink.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Reads and validates the settings file. All errors are collected, so that an operator
 * can fix them in one pass; unknown fields are ignored. Not thread-safe; an instance
 * reads one file.
 */
public final class SettingsReader {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final long MILLIS_PER_SECOND = 1000;

	/**
	 * Default limit, in bytes per second, on what a host sends to other hosts about
	 * backend servers that are shutting down or asked for a back-off: half of what it may
	 * send for all control traffic.
	 */
	private static final int DEFAULT_SIGHTING_BYTES_PER_SECOND = 8000;

	private final Path file;

	private final List<String> errors = new ArrayList<>();

	private SettingsReader(Path file) {
		this.file = file;
	}

	/**
	 * Reads a settings file.
	 * @param file path of the file
	 * @return the settings
	 * @throws SettingsException if the file cannot be read or a field is missing or
	 * invalid
	 */
	public static EntrySettings read(Path file) throws SettingsException {
		return new SettingsReader(file).read();
	}

	private EntrySettings read() throws SettingsException {
		JsonNode root = parse();
		EntrySettings settings = new EntrySettings(text(root, "host"), text(root, "zone"), address(root, "clients"),
				address(root, "readiness"), address(root, "store.address"), optionalAddress(root, "peers"),
				(int) optionalNumber(root, "sighting_bytes_per_second", DEFAULT_SIGHTING_BYTES_PER_SECOND),
				new EntrySettings.Bounds(millis(root, "bounds.stop_seconds"),
						(long) number(root, "bounds.leaving_millis"), (long) number(root, "bounds.apply_millis"),
						number(root, "bounds.repeat_ratio"), number(root, "bounds.repeat_slack"),
						millis(root, "bounds.repeat_window_seconds"), number(root, "bounds.exposure_share"),
						number(root, "bounds.exposure_slack"), millis(root, "bounds.session_seconds")));
		if (!this.errors.isEmpty()) {
			throw new SettingsException(this.errors);
		}
		return settings;
	}

	private JsonNode parse() throws SettingsException {
		try {
			JsonNode root = MAPPER.readTree(Files.readAllBytes(this.file));
			if (root == null || !root.isObject()) {
				throw new SettingsException(List.of(this.file + ": not a JSON object"));
			}
			return root;
		}
		catch (IOException ex) {
			throw new SettingsException(List.of(this.file + ": " + ex.getMessage()));
		}
	}

	private static JsonNode valueAt(JsonNode root, String field) {
		return root.at('/' + field.replace('.', '/'));
	}

	private String text(JsonNode root, String field) {
		JsonNode value = valueAt(root, field);
		if (!value.isTextual() || value.asText().isEmpty()) {
			addError(field, value, "a non-empty string");
			return "";
		}
		return value.asText();
	}

	private double number(JsonNode root, String field) {
		JsonNode value = valueAt(root, field);
		if (!value.isNumber() || value.asDouble() < 0) {
			addError(field, value, "a number of 0 or more");
			return 0;
		}
		return value.asDouble();
	}

	private double optionalNumber(JsonNode root, String field, double defaultValue) {
		return valueAt(root, field).isMissingNode() ? defaultValue : number(root, field);
	}

	private long millis(JsonNode root, String field) {
		return (long) (number(root, field) * MILLIS_PER_SECOND);
	}

	private InetSocketAddress address(JsonNode root, String field) {
		JsonNode value = valueAt(root, field);
		return SocketAddresses.parse(value.asText()).orElseGet(() -> {
			addError(field, value, "an IPv4 address and a port, such as 10.0.0.1:8080");
			return InetSocketAddress.createUnresolved("unknown", 0);
		});
	}

	private Optional<InetSocketAddress> optionalAddress(JsonNode root, String field) {
		return valueAt(root, field).isMissingNode() ? Optional.empty() : Optional.of(address(root, field));
	}

	private void addError(String field, JsonNode value, String expected) {
		String found = value.isMissingNode() ? "is missing" : "is " + value;
		this.errors.add(this.file + ": " + field + " " + found + "; expected " + expected);
	}

}
