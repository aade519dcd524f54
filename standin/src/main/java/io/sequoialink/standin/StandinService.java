package io.sequoialink.standin;

import java.io.IOException;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A plain service that executes every call it gets and counts executions by idempotency
 * key; it drops no duplicates itself. Thread-safe.
 */
public final class StandinService extends StandinServer {

	/** The header that carries the caller's idempotency key. */
	public static final String KEY_HEADER = "idempotency-key";

	private final String id;

	private final long seed;

	private final Books books;

	private final AtomicLong calls = new AtomicLong();

	private final Map<Fault, Double> shares = new ConcurrentHashMap<>(new EnumMap<>(Fault.class));

	private volatile long slowMillis;

	/**
	 * Creates a service.
	 * @param id its name on the platform's list
	 * @param books where executions are counted
	 * @param seed seed of its faults
	 */
	public StandinService(String id, Books books, long seed) {
		this.id = id;
		this.books = books;
		this.seed = seed;
	}

	/**
	 * Sets the share of calls that a fault hits.
	 * @param fault the fault
	 * @param share a share in [0, 1]
	 */
	public void fault(Fault fault, double share) {
		this.shares.put(fault, share);
	}

	/**
	 * Delays every call.
	 * @param millis the delay in milliseconds
	 */
	public void slow(long millis) {
		this.slowMillis = millis;
	}

	@Override
	void handle(Exchange exchange) throws IOException, InterruptedException {
		long call = this.calls.incrementAndGet();
		byte[] body = exchange.body();
		Thread.sleep(this.slowMillis);
		if (hit(Fault.REJECT, call)) {
			exchange.refuse(503, "no capacity");
			return;
		}
		String key = exchange.header(KEY_HEADER).orElse("");
		long execution = this.books.executed(key, exchange.header("x-request-id").orElse(""), this.id);
		if (hit(Fault.DROP_ANSWER, call)) {
			exchange.breakConnection();
		}
		if (hit(Fault.FAIL, call)) {
			exchange.fail(500, "failed after execution");
			return;
		}
		exchange.answer(200,
				Map.of("server", this.id, "path", exchange.path(), "execution", execution, "bytes", body.length));
	}

	private boolean hit(Fault fault, long call) {
		return Draws.unit(this.seed, this.id, fault, call) < this.shares.getOrDefault(fault, 0.0);
	}

	/** What can go wrong with a call. */
	public enum Fault {

		/** The call is refused and nothing is executed. */
		REJECT,

		/** The call is executed and the connection breaks before the answer. */
		DROP_ANSWER,

		/** The call is executed and answered with an error. */
		FAIL

	}

}
