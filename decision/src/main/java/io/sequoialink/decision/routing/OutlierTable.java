package io.sequoialink.decision.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import io.sequoialink.model.ServerId;

/**
 * Holds back servers that fail several times in a row, for a time that doubles. At no
 * time are more than the stated share of the servers held back, so that the rest is not
 * overwhelmed: those that failed most are held back first. Thread-safe: one lock, a leaf
 * in the lock order.
 */
public final class OutlierTable {

	private final OutlierParameters parameters;

	private final Map<ServerId, Entry> entries = new HashMap<>();

	public OutlierTable(OutlierParameters parameters) {
		this.parameters = parameters;
	}

	/**
	 * Takes the end of an attempt.
	 * @param server the server
	 * @param failed whether the server failed it; a request that the server refused for
	 * lack of capacity or that the caller gave up is no failure
	 * @param nowMillis the injected clock
	 */
	public synchronized void record(ServerId server, boolean failed, long nowMillis) {
		Entry entry = this.entries.get(server);
		if (!failed) {
			if (entry != null) {
				entry.failures = 0;
			}
			return;
		}
		if (entry == null) {
			entry = new Entry();
			this.entries.put(server, entry);
		}
		if (nowMillis - entry.lastFailure > this.parameters.forgetMillis()) {
			entry.ejections = 0;
		}
		entry.lastFailure = nowMillis;
		entry.failures++;
		if (entry.failures >= this.parameters.consecutiveFailures() && nowMillis >= entry.until) {
			entry.until = nowMillis + duration(entry.ejections);
			entry.ejections++;
			entry.failures = 0;
		}
	}

	/**
	 * Returns the servers to hold back.
	 * @param servers all servers that are there
	 * @param nowMillis the injected clock
	 * @return at most the stated share of them
	 */
	public synchronized Set<ServerId> ejected(Collection<ServerId> servers, long nowMillis) {
		int most = (int) Math.floor(this.parameters.maxShare() * servers.size());
		List<ServerId> held = servers.stream()
			.filter((server) -> until(server) > nowMillis)
			.sorted(Comparator.comparingInt((ServerId server) -> -this.entries.get(server).ejections)
				.thenComparing(Comparator.naturalOrder()))
			.toList();
		return held.stream().limit(most).collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Returns the failures in a row of a server.
	 * @param server the server
	 * @return a count
	 */
	public synchronized int failures(ServerId server) {
		Entry entry = this.entries.get(server);
		return (entry != null) ? entry.failures : 0;
	}

	/**
	 * Forgets servers that are no longer there.
	 * @param servers all servers that are there
	 */
	public synchronized void retain(Collection<ServerId> servers) {
		this.entries.keySet().retainAll(servers);
	}

	private long until(ServerId server) {
		Entry entry = this.entries.get(server);
		return (entry != null) ? entry.until : Long.MIN_VALUE;
	}

	private long duration(int earlier) {
		long doubled = this.parameters.baseMillis() << Math.min(earlier, Integer.SIZE - 1);
		return Math.min(this.parameters.maxMillis(), doubled);
	}

	private static final class Entry {

		private int failures;

		private int ejections;

		private long lastFailure;

		private long until = Long.MIN_VALUE;

	}

}
