package io.sequoialink.catalogue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sequoialink.model.Json;

/**
 * Writes and reads the records of the configuration stream: one JSON object a record with
 * the fields {@code type}, {@code version} and {@code body}. Stateless and thread-safe.
 */
public final class ConfigRecords {

	/** The format that this release writes and reads. */
	public static final int VERSION = 1;

	/** The largest record that is folded, in bytes. */
	public static final int MAX_RECORD_BYTES = 64 * 1024;

	private static final String CHANGE = "change";

	private static final String CHUNK = "checkpoint";

	private ConfigRecords() {
	}

	/**
	 * Writes a change.
	 * @param change the change
	 * @return the record's payload
	 */
	public static byte[] write(Change change) {
		return write(CHANGE, change);
	}

	static byte[] write(ConfigRecord.ChunkRecord chunk) {
		return write(CHUNK, chunk);
	}

	static ConfigRecord read(byte[] payload) throws MalformedRecordException {
		if (payload.length > MAX_RECORD_BYTES) {
			throw new MalformedRecordException(
					"the record has " + payload.length + " bytes; at most " + MAX_RECORD_BYTES + " are accepted");
		}
		try {
			return readBody(Json.mapper().readTree(payload));
		}
		catch (IOException | RuntimeException ex) {
			throw new MalformedRecordException(firstLine(ex));
		}
	}

	private static ConfigRecord readBody(JsonNode node) throws IOException, MalformedRecordException {
		int version = node.path("version").asInt(0);
		String type = node.path("type").asText();
		if (version != VERSION) {
			throw new MalformedRecordException("version " + version + " of type '" + type + "' is not known");
		}
		ObjectMapper mapper = Json.mapper();
		return switch (type) {
			case CHANGE -> new ConfigRecord.ChangeRecord(mapper.treeToValue(node.path("body"), Change.class));
			case CHUNK -> mapper.treeToValue(node.path("body"), ConfigRecord.ChunkRecord.class);
			default -> throw new MalformedRecordException("type '" + type + "' is not known");
		};
	}

	private static byte[] write(String type, Object body) {
		ObjectNode node = Json.mapper().createObjectNode();
		node.put("type", type);
		node.put("version", VERSION);
		node.set("body", Json.mapper().valueToTree(body));
		return Json.write(node).getBytes(StandardCharsets.UTF_8);
	}

	private static String firstLine(Exception ex) {
		String message = String.valueOf(ex.getMessage());
		return message.lines().findFirst().orElse(ex.getClass().getSimpleName());
	}

}
