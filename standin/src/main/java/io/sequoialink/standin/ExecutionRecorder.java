package io.sequoialink.standin;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Predicate;

/**
 * Records what the simulated backend servers executed. Tests and benchmarks compare the
 * system with this independent record and never with the router's own metrics, which may
 * be wrong themselves. Thread-safe.
 */
public final class ExecutionRecorder {

	private final Queue<EngineRun> runs = new ConcurrentLinkedQueue<>();

	private final Queue<Execution> executions = new ConcurrentLinkedQueue<>();

	private final Map<String, LongAdder> executionsByKey = new ConcurrentHashMap<>();

	private final LongAdder crashCount = new LongAdder();

	/**
	 * Returns the runs of all engines in the order in which they started.
	 * @return an unmodifiable view that shows later runs too
	 */
	public Collection<EngineRun> runs() {
		return Collections.unmodifiableCollection(this.runs);
	}

	/**
	 * Returns the runs of all engines that match a filter.
	 * @param filter selects the runs to return
	 * @return the matching runs so far, in the order in which they started
	 */
	public List<EngineRun> runs(Predicate<EngineRun> filter) {
		return this.runs.stream().filter(filter).toList();
	}

	/**
	 * Returns the executions by all plain services.
	 * @return a copy of the executions so far, in the order in which they happened
	 */
	public List<Execution> executions() {
		return List.copyOf(this.executions);
	}

	/**
	 * Returns how often calls with a given idempotency key were executed.
	 * @param key the idempotency key
	 * @return the number of executions on all servers together
	 */
	public long executions(String key) {
		LongAdder count = this.executionsByKey.get(key);
		return (count != null) ? count.sum() : 0;
	}

	/**
	 * Returns how many idempotency keys were executed more than once.
	 * @return the number of keys; calls without a key are not counted
	 */
	public long duplicatedKeyCount() {
		return this.executionsByKey.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().isEmpty() && entry.getValue().sum() > 1)
			.count();
	}

	/**
	 * Returns how often engines crashed.
	 * @return the number of crashes of all engines together
	 */
	public long crashCount() {
		return this.crashCount.sum();
	}

	void recordStart(EngineRun run) {
		this.runs.add(run);
	}

	void recordCrash() {
		this.crashCount.increment();
	}

	long recordExecution(String key, String request, String server) {
		this.executions.add(new Execution(key, request, server));
		LongAdder count = this.executionsByKey.computeIfAbsent(key, (absent) -> new LongAdder());
		count.increment();
		return count.sum();
	}

	/**
	 * One call that a plain service executed. Immutable and thread-safe.
	 *
	 * @param key the idempotency key, or an empty string if the call had none
	 * @param request the request identifier of the call, or an empty string if it had
	 * none
	 * @param server the identifier of the server
	 */
	public record Execution(String key, String request, String server) {
	}

}
