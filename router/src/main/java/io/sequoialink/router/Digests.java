package io.sequoialink.router;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

import io.sequoialink.remote.EngineClient.Message;

/**
 * Digests of keys and prompts. Stateless and thread-safe.
 */
public final class Digests {

	/** Characters of the prompt that requests must share to count as one prefix. */
	private static final int PREFIX_CHARACTERS = 512;

	private static final int FINGERPRINT_BYTES = 16;

	private Digests() {
	}

	/**
	 * Returns the digest under which an account stores its key.
	 * @param key the secret key
	 * @return lower-case hexadecimal SHA-256
	 */
	public static String ofKey(String key) {
		return HexFormat.of().formatHex(sha256(key));
	}

	/**
	 * Returns the fingerprint of a request's content, the same for a repetition.
	 * @param account the client account's identifier
	 * @param content what the caller sent
	 * @return 32 hexadecimal digits
	 */
	public static String fingerprint(String account, String content) {
		return HexFormat.of().formatHex(sha256(account + '\n' + content), 0, FINGERPRINT_BYTES);
	}

	static String text(List<Message> messages) {
		StringBuilder text = new StringBuilder();
		messages.forEach((message) -> text.append(message.role()).append('\n').append(message.content()).append('\n'));
		return text.toString();
	}

	static long prefixHash(String text) {
		byte[] digest = sha256(text.substring(0, Math.min(PREFIX_CHARACTERS, text.length())));
		long hash = 0;
		for (int i = 0; i < Long.BYTES; i++) {
			hash = (hash << Byte.SIZE) | (digest[i] & 0xff);
		}
		return hash;
	}

	private static byte[] sha256(String text) {
		try {
			return MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("this Java runtime lacks SHA-256", ex);
		}
	}

}
