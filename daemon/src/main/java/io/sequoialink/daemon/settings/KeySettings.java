package io.sequoialink.daemon.settings;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import jakarta.validation.constraints.Pattern;

/**
 * The secrets that hosts share. Immutable and thread-safe. A key is rotated in three
 * steps, each on all hosts: add the new key, make it active, take the old one away.
 *
 * @param peer keys that authenticate messages between hosts
 * @param session keys that seal session tokens
 * @param operator the key that operators present, if one is needed
 */
public record KeySettings(Ring peer, Ring session,
		Optional<@Pattern(regexp = Key.SECRET, message = Key.SECRET_ACCEPTED) String> operator) {

	/**
	 * Keys of one purpose. Immutable and thread-safe.
	 *
	 * @param active identifier of the key that is used; the others are accepted only
	 * @param keys all accepted keys
	 */
	public record Ring(String active, List<Key> keys) {

		public Ring {
			keys = List.copyOf(keys);
		}

		/**
		 * Returns the secrets by identifier.
		 * @return a new map of each key's bytes
		 */
		public Map<String, byte[]> secrets() {
			Map<String, byte[]> secrets = new TreeMap<>();
			this.keys.forEach((key) -> secrets.put(key.id(), key.secret().getBytes(StandardCharsets.UTF_8)));
			return secrets;
		}

		@Override
		public String toString() {
			return "Ring[active=" + this.active + ", keys=" + this.keys.size() + "]";
		}

	}

	/**
	 * One key. Immutable and thread-safe; its text form hides the secret.
	 *
	 * @param id the key's identifier
	 * @param secret the secret
	 */
	public record Key(@Pattern(regexp = HostSettings.IDENTIFIER, message = HostSettings.IDENTIFIER_ACCEPTED) String id,
			@Pattern(regexp = SECRET, message = SECRET_ACCEPTED) String secret) {

		static final String SECRET = "\\S{32,256}";

		static final String SECRET_ACCEPTED = "32 to 256 characters without blanks";

		@Override
		public String toString() {
			return "Key[id=" + this.id + "]";
		}

	}

}
