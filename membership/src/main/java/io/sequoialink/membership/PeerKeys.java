package io.sequoialink.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.sequoialink.model.Identifiers;

/**
 * The keys that authenticate peer messages. One is active: it signs. All are accepted. To
 * rotate, accept the new key on all hosts, make it active on all hosts, then drop the old
 * one. Immutable and thread-safe.
 */
public final class PeerKeys {

	/** The shortest accepted key, in bytes. */
	public static final int MIN_KEY_BYTES = 32;

	private final String activeId;

	private final Map<String, byte[]> keys;

	private PeerKeys(Builder builder) {
		this.activeId = builder.activeId;
		this.keys = Map.copyOf(builder.keys);
	}

	/**
	 * Starts a set of keys.
	 * @return an empty builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	String activeId() {
		return this.activeId;
	}

	Optional<byte[]> key(String id) {
		return Optional.ofNullable(this.keys.get(id));
	}

	/** Builds {@link PeerKeys}. Not thread-safe. */
	public static final class Builder {

		private final Map<String, byte[]> keys = new HashMap<>();

		private String activeId;

		private Builder() {
		}

		/**
		 * Adds an accepted key; the first one added is active until another is named.
		 * @param id the key's identifier
		 * @param key at least {@link PeerKeys#MIN_KEY_BYTES} secret bytes
		 * @return this builder
		 */
		public Builder accept(String id, byte[] key) {
			Identifiers.check("peer key", id);
			if (key.length < MIN_KEY_BYTES) {
				throw new IllegalArgumentException(
						"peer key " + id + " has " + key.length + " bytes: use at least " + MIN_KEY_BYTES);
			}
			this.keys.put(id, key.clone());
			this.activeId = (this.activeId != null) ? this.activeId : id;
			return this;
		}

		/**
		 * Names the key that signs.
		 * @param id the identifier of an accepted key
		 * @return this builder
		 */
		public Builder active(String id) {
			this.activeId = id;
			return this;
		}

		/**
		 * Builds the keys.
		 * @return the keys
		 */
		public PeerKeys build() {
			if (!this.keys.containsKey(this.activeId)) {
				throw new IllegalArgumentException(
						"active peer key " + this.activeId + " is not among the accepted keys " + this.keys.keySet());
			}
			return new PeerKeys(this);
		}

	}

}
