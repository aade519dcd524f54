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
 * Signs and verifies session tokens. A token binds a session to its client account and
 * model version. It is authenticated with an HMAC, so every host with the same keys can
 * verify it and no session has to be stored. Immutable and thread-safe.
 */
public final class SessionTokens {

	/** Maximum length of a token in characters; longer ones are rejected unread. */
	public static final int MAX_LENGTH = 1024;

	private static final String ALGORITHM = "HmacSHA256";

	private static final String FORMAT_VERSION = "s1";

	private static final int FIELD_COUNT = 6;

	private final String signingKeyId;

	private final Map<String, byte[]> keys;

	/**
	 * Creates an instance with the given keys.
	 * @param signingKeyId the identifier of the key that signs new tokens
	 * @param keys secrets by key identifier; tokens signed with retired keys remain valid
	 * as long as the key is listed
	 */
	public SessionTokens(String signingKeyId, Map<String, byte[]> keys) {
		if (!keys.containsKey(signingKeyId)) {
			throw new IllegalArgumentException("the active session key '" + signingKeyId + "' is not among the keys");
		}
		this.signingKeyId = signingKeyId;
		this.keys = Map.copyOf(keys);
	}

	/**
	 * Creates a signed token for a session.
	 * @param session the session
	 * @return the token, which contains only characters permitted in HTTP headers
	 */
	public String sign(Session session) {
		String body = String.join("~", FORMAT_VERSION, this.signingKeyId, session.id(),
				encode(session.account().value()), encode(session.version().value()));
		return body + "~" + hmac(this.keys.get(this.signingKeyId), body);
	}

	/**
	 * Verifies a token and returns its session.
	 * @param token the token that the caller sent; may be {@code null}
	 * @return the session, or empty if the token was not signed with one of the keys
	 */
	public Optional<Session> verify(String token) {
		if (token == null || token.length() > MAX_LENGTH) {
			return Optional.empty();
		}
		String[] fields = token.split("~", -1);
		if (fields.length != FIELD_COUNT || !FORMAT_VERSION.equals(fields[0]) || !this.keys.containsKey(fields[1])) {
			return Optional.empty();
		}
		String body = token.substring(0, token.lastIndexOf('~'));
		String expected = hmac(this.keys.get(fields[1]), body);
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

	private static String hmac(byte[] secret, String body) {
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
	 * The contents of a session token. Immutable and thread-safe.
	 *
	 * @param id the identifier of the session
	 * @param account the client account that started the session
	 * @param version the model version that answers all requests of the session
	 */
	public record Session(String id, AccountId account, VersionId version) {

		public Session {
			Identifiers.check("session", id);
		}

	}

}
