package io.sequoialink.ledger.leases;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.sequoialink.model.Json;

/**
 * A record of the stream of leases: one JSON object with the fields {@code type} and
 * {@code version}. Implementations are immutable and thread-safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({ @JsonSubTypes.Type(value = LeaseRecord.Acquire.class, name = "acquire"),
		@JsonSubTypes.Type(value = LeaseRecord.Release.class, name = "release") })
sealed interface LeaseRecord {

	/** The format that this release writes and reads. */
	int VERSION = 1;

	/**
	 * Returns the format of the record.
	 * @return a version
	 */
	int version();

	/**
	 * Writes the record.
	 * @return its payload
	 */
	default byte[] write() {
		return Json.write(this).getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Reads a record.
	 * @param payload the payload
	 * @return the record
	 * @throws IOException if the payload is malformed or of another version
	 */
	static LeaseRecord read(byte[] payload) throws IOException {
		LeaseRecord lease = Json.mapper().readValue(payload, LeaseRecord.class);
		if (lease == null || lease.version() != VERSION) {
			throw new IOException("this version of a lease record is not known");
		}
		return lease;
	}

	/**
	 * A host wants a lease.
	 *
	 * @param version the format
	 * @param id unique over all attempts
	 * @param resource what to lease
	 * @param previous fencing number of the lease that it follows, -1 for none
	 */
	record Acquire(int version, String id, String resource, long previous) implements LeaseRecord {

		public Acquire {
			Objects.requireNonNull(id, "id");
			Objects.requireNonNull(resource, "resource");
		}

	}

	/**
	 * A holder ends its lease.
	 *
	 * @param version the format
	 * @param resource what was leased
	 * @param fencingNumber the lease
	 */
	record Release(int version, String resource, long fencingNumber) implements LeaseRecord {

		public Release {
			Objects.requireNonNull(resource, "resource");
		}

	}

}
