package io.sequoialink.soak;

import java.util.List;
import java.util.Random;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Chooses which answers of a simulated server break the protocol, and how: no client may
 * get any of them, whatever its host makes of it. Thread-safe.
 */
final class BrokenAnswers {

	/** Service whose servers send such answers. */
	static final String SERVICE = "app";

	/**
	 * Bytes of a long upload, more than the sockets on its way hold, so that it is still
	 * being written when it is answered.
	 */
	static final int UPLOAD_BYTES = 4_000_000;

	/** Receive buffer of a server, small enough for that, in bytes. */
	static final int RECEIVE_BUFFER_BYTES = 8 << 10;

	private static final int SEED_MASK = 0xB40C;

	/** One in so many answers is malformed. */
	private static final int MALFORMED = 60;

	/** One in so many long uploads is answered before it is read. */
	private static final int CUT_UPLOADS = 2;

	private static final int MAX_MILLIS_BEFORE_RESET = 40;

	private static final Pattern STATUS = Pattern.compile("(?<=^HTTP/1.1 )\\d+");

	private static final Pattern LENGTH = Pattern.compile("Content-Length: (\\d+)\r\n\r\n(.*)", Pattern.DOTALL);

	/** Ways to break a whole answer with a length. */
	static final List<UnaryOperator<String>> WAYS = List.of(status("000"), status("099"), status("600"), status("2000"),
			status("0200"), status("+200"), (answer) -> answer.replaceFirst("^HTTP/1.1", "HTTP/2.0"),
			field("x broken: 1"), field("x-broken : 1"), field("x-bro\u0001ken: 1"), field("x-folded: 1\r\n 2"),
			(answer) -> answer.replaceFirst("Content-Length:", "Content-Length :"),
			(answer) -> answer.replaceFirst(HeaderNames.SERVER_SEAL + ":", HeaderNames.SERVER_SEAL + " :"),
			chunked("chunked", " 1", ""), chunked("chunked", "", "x broken: 1\r\n"), chunked("gzip", "", ""));

	private final Random random;

	private final boolean sometimes;

	BrokenAnswers(String service, long seed) {
		this.random = new Random(seed ^ SEED_MASK);
		this.sometimes = service.equals(SERVICE);
	}

	private static UnaryOperator<String> status(String code) {
		return (answer) -> STATUS.matcher(answer).replaceFirst(Matcher.quoteReplacement(code));
	}

	private static UnaryOperator<String> field(String line) {
		return (answer) -> answer.replaceFirst("\r\n", "\r\n" + line + "\r\n");
	}

	private static UnaryOperator<String> chunked(String coding, String behindSize, String trailer) {
		return (answer) -> LENGTH.matcher(answer)
			.replaceFirst((found) -> "Transfer-Encoding: " + coding + "\r\n\r\n"
					+ Integer.toHexString(Integer.parseInt(found.group(1))) + behindSize + "\r\n" + found.group(2)
					+ "\r\n0\r\n" + trailer + "\r\n");
	}

	/**
	 * Chooses whether the next answer is malformed.
	 * @return whether to break it
	 */
	synchronized boolean nextIsMalformed() {
		return this.sometimes && this.random.nextInt(MALFORMED) == 0;
	}

	/**
	 * Breaks an answer in one of the ways.
	 * @param answer a whole answer with a length
	 * @return what to write instead
	 */
	synchronized String malformed(String answer) {
		return WAYS.get(this.random.nextInt(WAYS.size())).apply(answer);
	}

	/**
	 * Chooses whether a request is answered before its body is read.
	 * @param head head of the request
	 * @return whether its connection is to be reset after a part of the answer
	 */
	synchronized boolean cutsUpload(HttpMessages.Head head) {
		boolean isLong = Integer.parseInt(head.header("content-length").orElse("0")) >= UPLOAD_BYTES;
		return this.sometimes && isLong && this.random.nextInt(CUT_UPLOADS) == 0;
	}

	synchronized int millisBeforeReset() {
		return this.random.nextInt(MAX_MILLIS_BEFORE_RESET);
	}

	/**
	 * Chooses whether a server ends its output in order before it resets.
	 * @return whether it does
	 */
	synchronized boolean endsOutputFirst() {
		return this.random.nextBoolean();
	}

}
