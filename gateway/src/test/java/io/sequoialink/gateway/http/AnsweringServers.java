package io.sequoialink.gateway.http;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Servers that answer at random, with failures and successes of all sizes in pieces of
 * all sizes, some of them twice, late or not to the end. Each answer has a seal of its
 * own, under which is kept what was written.
 */
final class AnsweringServers implements ScriptedServer.Script {

	private static final int[] PAUSES_MILLIS = { 0, 0, 5, 30, 120 };

	private static final int[] PIECES = { 40, 700, 3000, 16_000, 1 << 20 };

	private static final int[] SIZES = { 1, 300, 300, 1500, 20_000, 200_000 };

	/** Longer than a server may be silent before another one is tried. */
	private static final int SILENT_MILLIS = 600;

	private final long seed;

	private final AtomicInteger runs = new AtomicInteger();

	private final AtomicInteger secondAnswers = new AtomicInteger();

	private final Map<String, Written> written = new ConcurrentHashMap<>();

	private final List<String> changedRequests = new CopyOnWriteArrayList<>();

	AnsweringServers(long seed) {
		this.seed = seed;
	}

	/**
	 * Returns the answer that a server wrote, or began to write, with a seal.
	 * @param seal the seal
	 * @return the answer, {@code null} if no server wrote such a seal as first answer
	 */
	Written written(String seal) {
		return this.written.get(seal);
	}

	/**
	 * Returns how many answers were written although their requests had been answered.
	 * @return number of second answers
	 */
	int secondAnswers() {
		return this.secondAnswers.get();
	}

	int runs() {
		return this.runs.get();
	}

	/**
	 * Returns the requests that did not arrive as their clients sent them.
	 * @return their ids
	 */
	List<String> changedRequests() {
		return this.changedRequests;
	}

	@Override
	public void respond(ScriptedServer.Call call) throws IOException {
		String id = call.header("id");
		if (!call.path().endsWith("/" + id) || !call.body().equals(requestBody(id, call.body().length()))) {
			this.changedRequests.add(id);
		}
		int run = this.runs.incrementAndGet();
		SplittableRandom random = new SplittableRandom(this.seed * 1_000_003 + id.hashCode() * 31L + run);
		int fate = random.nextInt(100);
		if (fate < 3) {
			call.write("HTTP/1.1 503 X\r\nid: " + id + "\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n");
			return;
		}
		if (fate < 6) {
			ScriptedServer.pause(SILENT_MILLIS);
		}
		boolean failed = random.nextInt(100) < 20;
		answer(call, answer(id, "a" + run, failed, random), random, fate < 9);
		if (random.nextInt(100) < 20 && !call.ended()) {
			ScriptedServer.pause(PAUSES_MILLIS[random.nextInt(PAUSES_MILLIS.length)]);
			this.secondAnswers.incrementAndGet();
			answer(call, secondAnswer(id, "b" + run, !failed), random, false);
		}
	}

	private Written answer(String id, String name, boolean failed, SplittableRandom random) {
		String seal = id + '-' + name;
		int size = random.nextInt(SIZES[random.nextInt(SIZES.length)]);
		Written answer = new Written(id, seal, failed ? 500 : 200, text(seal, size));
		this.written.put(seal, answer);
		return answer;
	}

	private static Written secondAnswer(String id, String name, boolean failed) {
		String seal = id + '-' + name;
		return new Written(id, seal, failed ? 500 : 200, text(seal, 200));
	}

	private static void answer(ScriptedServer.Call call, Written answer, SplittableRandom random, boolean breaksOff)
			throws IOException {
		boolean chunked = random.nextBoolean();
		boolean endsWithConnection = !breaksOff && random.nextInt(100) < 4;
		String framing = chunked ? "transfer-encoding: chunked\r\n"
				: "content-length: " + answer.body.length() + "\r\n";
		call.write("HTTP/1.1 " + answer.status + " X\r\nid: " + answer.id + "\r\nseal: " + answer.seal + "\r\n"
				+ (endsWithConnection ? "" : framing) + "\r\n");
		int piece = PIECES[random.nextInt(PIECES.length)];
		boolean inChunks = chunked && !endsWithConnection;
		int end = breaksOff ? answer.body.length() / 2 : answer.body.length();
		for (int from = 0; from < end; from += piece) {
			String text = answer.body.substring(from, Math.min(end, from + piece));
			call.write(inChunks ? Integer.toHexString(text.length()) + "\r\n" + text + "\r\n" : text);
		}
		if (breaksOff || endsWithConnection) {
			call.close();
		}
		else if (inChunks) {
			call.endChunks();
		}
	}

	/**
	 * Returns the body of a request.
	 * @param id identifier of the request
	 * @param length size in bytes
	 * @return text that no other request has
	 */
	static String requestBody(String id, int length) {
		return text(id, length);
	}

	private static String text(String name, int length) {
		StringBuilder text = new StringBuilder(length + 64);
		while (text.length() < length) {
			text.append(name).append(' ').append(text.length()).append(';');
		}
		text.setLength(length);
		return text.toString();
	}

	/**
	 * An answer to the first run of a request at a server. Immutable.
	 *
	 * @param id identifier of the request
	 * @param seal signature, unique to this answer
	 * @param status status code
	 * @param body the body
	 */
	record Written(String id, String seal, int status, String body) {

	}

}
