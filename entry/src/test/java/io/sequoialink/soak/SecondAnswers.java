package io.sequoialink.soak;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Writes the answers of a simulated server, some of them twice: the second answer to a
 * request differs from the first and no client may get it. It follows at once, late, or
 * just before the next answer on the connection, which is kept; of some only the
 * beginning is ever written. Thread-safe.
 */
final class SecondAnswers {

	/** Service whose servers answer every second request twice, hang and often fail. */
	static final String SERVICE = "pair";

	/** Number of its servers: few, so that requests come back to the same server. */
	static final int SERVERS = 2;

	private static final int SEED_MASK = 0x1A7E;

	/** Upper bound of the time until a second answer, in milliseconds. */
	private static final int MAX_LATE_MILLIS = 120;

	/** The same after an answer at the deadline. */
	private static final int MAX_AFTER_DEADLINE_MILLIS = 60;

	/** Percentage of the answers of the service that are failures. */
	private static final int FAILURES = 14;

	/** Percentage of its requests at which the server hangs. */
	private static final int HANGS = 15;

	/** In other services one success in so many has a second answer. */
	private static final int OTHER_SUCCESSES = 20;

	/** Of one second answer in so many only the beginning is written. */
	private static final int CUT_ANSWERS = 3;

	/** Longest beginning, in characters: somewhat more than the status line. */
	private static final int MAX_BEGINNING = 24;

	private final Random random;

	private final PromiseChecker checker;

	private final boolean often;

	private final Map<Socket, String> held = new ConcurrentHashMap<>();

	SecondAnswers(String service, long seed, PromiseChecker checker) {
		this.often = service.equals(SERVICE);
		this.random = new Random(seed ^ SEED_MASK);
		this.checker = checker;
	}

	/**
	 * Chooses a status in the place of another.
	 * @param status status of a server that does not fail often
	 * @return the status to answer with
	 */
	int status(int status) {
		return (this.often && this.random.nextInt(100) < FAILURES) ? 500 : status;
	}

	/**
	 * Chooses how long the server hangs with a request before it answers 504.
	 * @param deadlineMillis time that is left for the request
	 * @return the time in milliseconds, 0 if the server does not hang
	 */
	int hangMillis(int deadlineMillis) {
		return (this.often && this.random.nextInt(100) < HANGS)
				? Math.min(300 + this.random.nextInt(901), deadlineMillis) : 0;
	}

	/**
	 * Writes an answer, and perhaps another one.
	 * @param socket the connection
	 * @param status status of the first answer
	 * @param first the first answer
	 * @param whole second answer, which must say something else
	 */
	void write(Socket socket, int status, String first, String whole) throws IOException {
		String second = perhapsCut(whole);
		OutputStream out = socket.getOutputStream();
		String earlier = this.held.getOrDefault(socket, "");
		boolean twice = this.random.nextInt((this.often || status >= 500) ? 2 : OTHER_SUCCESSES) == 0;
		int draw = (status == 504) ? 3 : this.random.nextInt(4);
		int late = this.random.nextInt((status == 504) ? MAX_AFTER_DEADLINE_MILLIS : MAX_LATE_MILLIS);
		HttpMessages.write(out, earlier + first + ((twice && draw == 0) ? second : ""));
		if (this.held.remove(socket) != null) {
			this.checker.increment("second answers just before the next");
		}
		if (!twice) {
			return;
		}
		if (draw == 1) {
			this.held.put(socket, second);
			return;
		}
		if (draw > 1) {
			DaemonThreads.sleep(late);
			HttpMessages.write(out, second);
		}
		this.checker.increment("second answers after " + status);
	}

	private String perhapsCut(String whole) {
		boolean cut = this.random.nextInt(CUT_ANSWERS) == 0;
		return cut ? whole.substring(0, 1 + this.random.nextInt(Math.min(MAX_BEGINNING, whole.length()))) : whole;
	}

	void connectionEnded(Socket socket) {
		this.held.remove(socket);
	}

}
