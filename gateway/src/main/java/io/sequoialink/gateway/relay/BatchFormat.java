package io.sequoialink.gateway.relay;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sequoialink.gateway.feed.ForwardedBatch;
import io.sequoialink.gateway.feed.KeyedRecord;
import io.sequoialink.gateway.fleet.StorePosition;

/**
 * Encodes batches of store records as datagrams in JSON; the JSON library is already
 * loaded for the store. Thread-safe.
 */
final class BatchFormat {

	/** Maximum size of a datagram, in bytes, so that network links do not fragment it. */
	static final int MAX_DATAGRAM_BYTES = 1200;

	/** Space reserved for everything except the records, in bytes. */
	private static final int ENVELOPE_BYTES = 215;

	/** Encoded size of a record without its key and value, in bytes. */
	private static final int RECORD_OVERHEAD_BYTES = 32;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private BatchFormat() {
	}

	/**
	 * Splits a batch into parts that fit into a datagram.
	 * @param batch the batch
	 * @return consecutive parts; a record that does not fit into a datagram is replaced
	 * by a part that is marked as incomplete
	 */
	static List<ForwardedBatch> split(ForwardedBatch batch) {
		List<ForwardedBatch> parts = new ArrayList<>();
		List<KeyedRecord> fitting = new ArrayList<>();
		long from = batch.from();
		int bytes = ENVELOPE_BYTES;
		for (KeyedRecord record : batch.changedRecords()) {
			int size = encodedSize(record);
			if (bytes + size > MAX_DATAGRAM_BYTES && record.offset() > from) {
				parts.add(new ForwardedBatch(batch.topic(), batch.era(), from, record.offset(), List.copyOf(fitting),
						true));
				fitting.clear();
				from = record.offset();
				bytes = ENVELOPE_BYTES;
			}
			if (bytes + size > MAX_DATAGRAM_BYTES) {
				parts.add(new ForwardedBatch(batch.topic(), batch.era(), from, record.offset() + 1, List.of(), false));
				from = record.offset() + 1;
				continue;
			}
			fitting.add(record);
			bytes += size;
		}
		if (from < batch.next() || parts.isEmpty()) {
			parts.add(new ForwardedBatch(batch.topic(), batch.era(), from, batch.next(), List.copyOf(fitting), true));
		}
		return parts;
	}

	// The value is encoded in base 64.
	private static int encodedSize(KeyedRecord record) {
		return RECORD_OVERHEAD_BYTES + 2 * record.key().length() + (record.value().length + 2) / 3 * 4;
	}

	static byte[] write(BatchMessage message) {
		ForwardedBatch batch = message.batch();
		ObjectNode node = MAPPER.createObjectNode();
		node.put("host", message.host());
		node.put("topic", batch.topic());
		node.put("era", batch.era());
		node.put("from", batch.from());
		node.put("next", batch.next());
		node.put("whole", batch.complete());
		ArrayNode changes = node.putArray("changes");
		for (KeyedRecord record : batch.changedRecords()) {
			changes.addArray().add(record.key()).add(record.value()).add(record.offset());
		}
		return node.toString().getBytes(StandardCharsets.UTF_8);
	}

	static BatchMessage read(byte[] datagram) throws IOException {
		JsonNode node = MAPPER.readTree(datagram);
		if (!node.path("host").isTextual() || !node.path("from").isIntegralNumber()
				|| !node.path("next").isIntegralNumber()) {
			throw new IOException("datagram has no host, start offset or end offset");
		}
		long era = node.path("era").asLong(StorePosition.NO_ERA);
		List<KeyedRecord> changes = new ArrayList<>();
		for (JsonNode row : node.path("changes")) {
			byte[] value = row.path(1).binaryValue();
			if (value == null) {
				throw new IOException("record has no value");
			}
			changes.add(new KeyedRecord(row.path(0).asText(), value, new StorePosition(era, row.path(2).asLong())));
		}
		ForwardedBatch batch = new ForwardedBatch(node.path("topic").asText(), era, node.path("from").asLong(),
				node.path("next").asLong(), changes, node.path("whole").asBoolean());
		return new BatchMessage(node.path("host").asText(), batch);
	}

}
