package io.sequoialink.standin;

import java.io.IOException;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Simulates one server of a plain HTTP service. It executes every call that no fault
 * rejects and records the execution under the idempotency key of the call. It does not
 * suppress duplicates, so tests see each repeated execution. Thread-safe.
 */
public final class StandinService extends StandinServer {

	/** Name of the request header with the caller's idempotency key. */
	public static final String KEY_HEADER = "idempotency-key";

	private final String id;

	private final long seed;

	private final ExecutionRecorder executionRecorder;

	private final AtomicLong calls = new AtomicLong();

	private final Map<Fault, Double> faultShares = new ConcurrentHashMap<>(new EnumMap<>(Fault.class));

	private volatile long delayMillis;

	/**
	 * Creates a server that is not started.
	 * @param id the server's identifier on the platform's list
	 * @param executionRecorder records the executions
	 * @param seed seed that decides which calls the faults hit
	 */
	public StandinService(String id, ExecutionRecorder executionRecorder, long seed) {
		this.id = id;
		this.executionRecorder = executionRecorder;
		this.seed = seed;
	}

	/**
	 * Sets the share of calls that a fault hits.
	 * @param fault the fault to inject
	 * @param share the share in [0, 1]; 0 turns the fault off
	 */
	public void setFaultShare(Fault fault, double share) {
		this.faultShares.put(fault, share);
	}

	/**
	 * Delays the handling of every call.
	 * @param millis the delay in milliseconds, 0 for none
	 */
	public void setDelay(long millis) {
		this.delayMillis = millis;
	}

	@Override
	void handle(Exchange exchange) throws IOException, InterruptedException {
		long call = this.calls.incrementAndGet();
		byte[] body = exchange.body();
		Thread.sleep(this.delayMillis);
		if (faultApplies(Fault.REJECT, call)) {
			exchange.rejectUnexecuted(503, "no capacity");
			return;
		}
		String key = exchange.header(KEY_HEADER).orElse("");
		long execution = this.executionRecorder.recordExecution(key, exchange.header("x-request-id").orElse(""),
				this.id);
		if (faultApplies(Fault.DROP_ANSWER, call)) {
			exchange.breakConnection();
		}
		if (faultApplies(Fault.FAIL, call)) {
			exchange.respondEffectUnknown(500, "failed after execution");
			return;
		}
		exchange.respond(200,
				Map.of("server", this.id, "path", exchange.path(), "execution", execution, "bytes", body.length));
	}

	private boolean faultApplies(Fault fault, long call) {
		return SeededRandom.uniform(this.seed, this.id, fault, call) < this.faultShares.getOrDefault(fault, 0.0);
	}

	/**
	 * Faults that can be injected into the handling of a call, which is one HTTP request
	 * to this server.
	 */
	public enum Fault {

		/** The server responds with status 503 and does not execute the call. */
		REJECT,

		/**
		 * The server executes the call, then closes the connection without sending a
		 * response.
		 */
		DROP_ANSWER,

		/** The server executes the call, then responds with status 500. */
		FAIL

	}

}
