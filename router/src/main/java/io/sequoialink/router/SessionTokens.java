package io.sequoialink.router;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.Map;
import java.util.Optional;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import io.sequoialink.model.AccountId;
import io.sequoialink.model.Identifiers;
import io.sequoialink.model.VersionId;

/**
 * Seals and opens session tokens. A token binds a session to its client account and
 * version; any host with the same keys can open it, and nothing is stored. Immutable and
 * thread-safe.
 */
public final class SessionTokens {

	/** The longest token that is looked at, in characters. */
	public static final int MAX_LENGTH = 1024;

	private static final String ALGORITHM = "HmacSHA256";

	private static final String FORMAT = "s1";

	private static final int FIELDS = 6;

	private final String activeKey;

	private final Map<String, byte[]> keys;

	/**
	 * Creates the sealing with its keys.
	 * @param activeKey id of the key that seals new tokens
	 * @param keys secrets by key id; retired keys still open their tokens
	 */
	public SessionTokens(String activeKey, Map<String, byte[]> keys) {
		if (!keys.containsKey(activeKey)) {
			throw new IllegalArgumentException("the active session key '" + activeKey + "' is not among the keys");
		}
		this.activeKey = activeKey;
		this.keys = Map.copyOf(keys);
	}

	/**
	 * Seals a token.
	 * @param session the session
	 * @return the token, in characters that HTTP headers accept
	 */
	public String seal(Session session) {
		String body = String.join("~", FORMAT, this.activeKey, session.id(), encode(session.account().value()),
				encode(session.version().value()));
		return body + "~" + sign(this.keys.get(this.activeKey), body);
	}

	/**
	 * Opens a token.
	 * @param token the text from the caller
	 * @return the session, or empty if the token was not sealed with one of the keys
	 */
	public Optional<Session> open(String token) {
		if (token == null || token.length() > MAX_LENGTH) {
			return Optional.empty();
		}
		String[] fields = token.split("~", -1);
		if (fields.length != FIELDS || !FORMAT.equals(fields[0]) || !this.keys.containsKey(fields[1])) {
			return Optional.empty();
		}
		String body = token.substring(0, token.lastIndexOf('~'));
		String expected = sign(this.keys.get(fields[1]), body);
		if (!MessageDigest.isEqual(expected.getBytes(StandardCharsets.US_ASCII),
				fields[5].getBytes(StandardCharsets.UTF_8))) {
			return Optional.empty();
		}
		return Optional.of(new Session(fields[2], new AccountId(decode(fields[3])), new VersionId(decode(fields[4]))));
	}

	private static String encode(String text) {
		return Base64.getUrlEncoder().withoutPadding().encodeToString(text.getBytes(StandardCharsets.UTF_8));
	}

	private static String decode(String text) {
		return new String(Base64.getUrlDecoder().decode(text), StandardCharsets.UTF_8);
	}

	private static String sign(byte[] secret, String body) {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(new SecretKeySpec(secret, ALGORITHM));
			byte[] tag = mac.doFinal(body.getBytes(StandardCharsets.UTF_8));
			return Base64.getUrlEncoder().withoutPadding().encodeToString(tag);
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("this Java runtime lacks " + ALGORITHM, ex);
		}
	}

	/**
	 * A session. Immutable and thread-safe.
	 *
	 * @param id the session's identifier
	 * @param account the client account that began it
	 * @param version the version that it keeps
	 */
	public record Session(String id, AccountId account, VersionId version) {

		public Session {
			Identifiers.check("session", id);
		}

	}

}
