package io.sequoialink.router;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

import io.sequoialink.remote.EngineClient.Message;

/**
 * Hashes of account keys, prompts and requests. Stateless and thread-safe.
 */
public final class Digests {

	/**
	 * Number of characters at the start of a prompt that are hashed; prompts in which
	 * they are equal count as having the same prefix.
	 */
	private static final int PREFIX_LENGTH = 512;

	private static final int FINGERPRINT_BYTES = 16;

	private Digests() {
	}

	/**
	 * Returns the hash of an account key; the configuration stores only this hash.
	 * @param key the secret key
	 * @return lower-case hexadecimal digits of the SHA-256 hash
	 */
	public static String keyDigest(String key) {
		return HexFormat.of().formatHex(sha256(key));
	}

	/**
	 * Returns a hash of a request's account and content, which identifies repetitions of
	 * the same request.
	 * @param account the client account's identifier
	 * @param content the content that the caller sent
	 * @return 32 lower-case hexadecimal digits
	 */
	public static String fingerprint(String account, String content) {
		return HexFormat.of().formatHex(sha256(account + '\n' + content), 0, FINGERPRINT_BYTES);
	}

	static String promptText(List<Message> messages) {
		StringBuilder text = new StringBuilder();
		messages.forEach((message) -> text.append(message.role()).append('\n').append(message.content()).append('\n'));
		return text.toString();
	}

	static long prefixHash(String text) {
		byte[] digest = sha256(text.substring(0, Math.min(PREFIX_LENGTH, text.length())));
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
