package io.sequoialink.gateway.relay;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sequoialink.gateway.feed.KeyedRecord;
import io.sequoialink.gateway.feed.SharedRead;

/**
 * Datagrams between hosts: JSON, which a host has loaded for the store already. Safe for
 * threads.
 */
final class RelayFormat {

	/** Longest datagram, so that links need not split it, in bytes. */
	static final int MAX_BYTES = 1200;

	/** Room for all that is not a record, in bytes. */
	private static final int HEAD_BYTES = 200;

	/** What a record takes besides its key and value, in bytes. */
	private static final int RECORD_BYTES = 32;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private RelayFormat() {
	}

	/**
	 * Cuts a stretch into such as fit into a datagram.
	 * @param read the stretch
	 * @return stretches that follow each other; one with a record that does not fit is
	 * not whole
	 */
	static List<SharedRead> split(SharedRead read) {
		List<SharedRead> parts = new ArrayList<>();
		List<KeyedRecord> fitting = new ArrayList<>();
		long from = read.from();
		int bytes = HEAD_BYTES;
		for (KeyedRecord record : read.changes()) {
			int size = size(record);
			if (bytes + size > MAX_BYTES && record.offset() > from) {
				parts.add(new SharedRead(read.topic(), from, record.offset(), List.copyOf(fitting), true));
				fitting.clear();
				from = record.offset();
				bytes = HEAD_BYTES;
			}
			if (bytes + size > MAX_BYTES) {
				parts.add(new SharedRead(read.topic(), from, record.offset() + 1, List.of(), false));
				from = record.offset() + 1;
				continue;
			}
			fitting.add(record);
			bytes += size;
		}
		if (from < read.next() || parts.isEmpty()) {
			parts.add(new SharedRead(read.topic(), from, read.next(), List.copyOf(fitting), true));
		}
		return parts;
	}

	// The value is written in base 64.
	private static int size(KeyedRecord record) {
		return RECORD_BYTES + 2 * record.key().length() + (record.value().length + 2) / 3 * 4;
	}

	static byte[] write(RelayMessage message) {
		SharedRead read = message.read();
		ObjectNode node = MAPPER.createObjectNode();
		node.put("host", message.host());
		node.put("topic", read.topic());
		node.put("from", read.from());
		node.put("next", read.next());
		node.put("whole", read.whole());
		ArrayNode changes = node.putArray("changes");
		for (KeyedRecord record : read.changes()) {
			changes.addArray().add(record.key()).add(record.value()).add(record.offset());
		}
		return node.toString().getBytes(StandardCharsets.UTF_8);
	}

	static RelayMessage read(byte[] datagram) throws IOException {
		JsonNode node = MAPPER.readTree(datagram);
		if (!node.path("host").isTextual() || !node.path("from").isIntegralNumber()
				|| !node.path("next").isIntegralNumber()) {
			throw new IOException("no message of a host");
		}
		List<KeyedRecord> changes = new ArrayList<>();
		for (JsonNode row : node.path("changes")) {
			byte[] value = row.path(1).binaryValue();
			if (value == null) {
				throw new IOException("a record without a value");
			}
			changes.add(new KeyedRecord(row.path(0).asText(), value, row.path(2).asLong()));
		}
		SharedRead read = new SharedRead(node.path("topic").asText(), node.path("from").asLong(),
				node.path("next").asLong(), changes, node.path("whole").asBoolean());
		return new RelayMessage(node.path("host").asText(), read);
	}

}
