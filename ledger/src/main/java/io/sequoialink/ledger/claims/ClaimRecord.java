package io.sequoialink.ledger.claims;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sequoialink.ledger.ClaimKey;
import io.sequoialink.ledger.RecordedOutcome;
import io.sequoialink.model.Json;
import io.sequoialink.model.RequestId;

/**
 * A record of the stream of claims: one JSON object with the fields {@code type} and
 * {@code version}. Implementations are immutable and thread-safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({ @JsonSubTypes.Type(value = ClaimRecord.Claim.class, name = "claim"),
		@JsonSubTypes.Type(value = ClaimRecord.Outcome.class, name = "outcome"),
		@JsonSubTypes.Type(value = ClaimRecord.Release.class, name = "not-dispatched") })
sealed interface ClaimRecord {

	/** The format that this release writes and reads. */
	int VERSION = 1;

	/**
	 * Returns the id of the claim that the record is about.
	 * @return a text that is unique over all claims
	 */
	String claimId();

	/**
	 * Writes the record.
	 * @return its payload
	 */
	default byte[] write() {
		ObjectNode node = Json.mapper().valueToTree(this);
		node.put("version", VERSION);
		return Json.write(node).getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Reads a record.
	 * @param payload the payload
	 * @return the record
	 * @throws IOException if the payload is malformed or of another version
	 */
	static ClaimRecord read(byte[] payload) throws IOException {
		try {
			ObjectNode node = Json.mapper().readValue(payload, ObjectNode.class);
			int version = node.path("version").asInt(0);
			if (version != VERSION) {
				throw new IOException("version " + version + " is not known");
			}
			node.remove("version");
			return Json.mapper().treeToValue(node, ClaimRecord.class);
		}
		catch (RuntimeException ex) {
			throw new IOException("not a claim record", ex);
		}
	}

	/**
	 * A host wants to run the work of a key.
	 *
	 * @param claimId the claim's id
	 * @param key the work
	 * @param request the request
	 * @param fingerprint digest of the request
	 */
	record Claim(String claimId, ClaimKey key, RequestId request, String fingerprint) implements ClaimRecord {

		public Claim {
			Objects.requireNonNull(claimId, "claimId");
			Objects.requireNonNull(key, "key");
			Objects.requireNonNull(request, "request");
			Objects.requireNonNull(fingerprint, "fingerprint");
		}

	}

	/**
	 * The work of a claim was run.
	 *
	 * @param claimId the claim's id
	 * @param key the work
	 * @param outcome its outcome
	 */
	record Outcome(String claimId, ClaimKey key, RecordedOutcome outcome) implements ClaimRecord {

		public Outcome {
			Objects.requireNonNull(claimId, "claimId");
			Objects.requireNonNull(key, "key");
			Objects.requireNonNull(outcome, "outcome");
		}

	}

	/**
	 * The work of a claim was not run and will not be, whether or not the claim itself
	 * has reached the log yet.
	 *
	 * @param claimId the claim's id
	 * @param key the work
	 */
	record Release(String claimId, ClaimKey key) implements ClaimRecord {

		public Release {
			Objects.requireNonNull(claimId, "claimId");
			Objects.requireNonNull(key, "key");
		}

	}

}
