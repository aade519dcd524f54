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
 * What the backend servers did, in their own words; verdicts are taken from here and
 * never from the router's figures. Thread-safe.
 */
public final class Books {

	private final Queue<EngineRun> runs = new ConcurrentLinkedQueue<>();

	private final Queue<Execution> executions = new ConcurrentLinkedQueue<>();

	private final Map<String, LongAdder> executionsByKey = new ConcurrentHashMap<>();

	private final LongAdder crashes = new LongAdder();

	/**
	 * Returns all runs of all engines in the order of their starts.
	 * @return a live view
	 */
	public Collection<EngineRun> runs() {
		return Collections.unmodifiableCollection(this.runs);
	}

	/**
	 * Returns some runs.
	 * @param wanted chooses the runs
	 * @return the runs so far
	 */
	public List<EngineRun> runs(Predicate<EngineRun> wanted) {
		return this.runs.stream().filter(wanted).toList();
	}

	/**
	 * Returns the executions of all plain services.
	 * @return the executions so far
	 */
	public List<Execution> executions() {
		return List.copyOf(this.executions);
	}

	/**
	 * Returns how often calls with one idempotency key were executed.
	 * @param key the key
	 * @return a count over all servers
	 */
	public long executions(String key) {
		LongAdder count = this.executionsByKey.get(key);
		return (count != null) ? count.sum() : 0;
	}

	/**
	 * Returns how many idempotency keys were executed more than once.
	 * @return a count of keys
	 */
	public long executedTwice() {
		return this.executionsByKey.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().isEmpty() && entry.getValue().sum() > 1)
			.count();
	}

	/**
	 * Returns how often an engine crashed.
	 * @return a count over all engines
	 */
	public long crashes() {
		return this.crashes.sum();
	}

	void started(EngineRun run) {
		this.runs.add(run);
	}

	void crashed() {
		this.crashes.increment();
	}

	long executed(String key, String request, String server) {
		this.executions.add(new Execution(key, request, server));
		LongAdder count = this.executionsByKey.computeIfAbsent(key, (absent) -> new LongAdder());
		count.increment();
		return count.sum();
	}

	/**
	 * One execution at a plain service. Immutable and thread-safe.
	 *
	 * @param key the idempotency key, or empty text
	 * @param request the caller's request, or empty text
	 * @param server the server
	 */
	public record Execution(String key, String request, String server) {
	}

}
