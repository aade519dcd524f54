package io.sequoialink.gateway.place;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

import com.dynatrace.hash4j.hashing.Hashing;
import io.sequoialink.gateway.fleet.ServerEntry;

/**
 * A backend server with what this host knows about it: its requests in progress, reported
 * load, cached prompt prefixes and recent failures. Confined to the event loop.
 */
public final class ServerState {

	/** Number of prompt prefixes that are remembered per server. */
	private static final int MAX_CACHED_PREFIXES = 512;

	/**
	 * Time for which a server is ejected (not chosen while others are left) after the
	 * second failure in a row, in nanoseconds; doubled with each further failure.
	 */
	private static final long FIRST_EJECTION_NANOS = 500_000_000L;

	private static final int MAX_DOUBLINGS = 4;

	/** Weight of a load report in the mean of the server's reports. */
	private static final double REPORT_SMOOTHING = 0.2;

	private static final int FAILURES_BEFORE_EJECTION = 2;

	/**
	 * Time after which a callback that waits for bytes of the server expires, in
	 * nanoseconds.
	 */
	static final long CALLBACK_TIMEOUT_NANOS = 1_000_000_000L;

	/** Limit of callbacks that wait for bytes of the server. */
	private static final int MAX_CALLBACKS = 64;

	private final long incarnation;

	private ServerEntry entry;

	private int inFlight;

	private double pendingMillis;

	private final Map<Long, Long> prefixReadAt = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
			return size() > MAX_CACHED_PREFIXES;
		}
	};

	private int reportedRunning;

	private int reportedQueued;

	private long reportedAt;

	private boolean reported;

	private double meanLoad;

	private OptionalInt slowdownPercent = OptionalInt.empty();

	private long slowdownAt;

	private final ServerSpeed speed = new ServerSpeed();

	private final ServerMemory memory = new ServerMemory();

	private int consecutiveFailures;

	private long ejectedUntil;

	private long receivedAt;

	private boolean everReceived;

	private final List<PendingCallback> callbacks = new ArrayList<>();

	/**
	 * Creates the state of a server that has received no request yet.
	 * @param entry the server's registration
	 */
	public ServerState(ServerEntry entry) {
		this.entry = entry;
		this.incarnation = incarnation(entry);
	}

	/**
	 * Returns the identifier of a server's incarnation (one run of its process), which is
	 * the same on all hosts.
	 * @param entry the server's registration
	 * @return hash of the server's identifier and start time
	 */
	public static long incarnation(ServerEntry entry) {
		return incarnation(entry.id(), entry.startMillis());
	}

	/**
	 * Returns the identifier of a server's incarnation, which is the same on all hosts.
	 * @param id the server's identifier
	 * @param startMillis its start time as Unix time in milliseconds
	 * @return hash of both
	 */
	public static long incarnation(String id, long startMillis) {
		return Hashing.wyhashFinal4().hashStream().putString(id).putLong(startMillis).getAsLong();
	}

	/**
	 * Returns the identifier of the server process that this state describes, which is
	 * the same on all hosts.
	 * @return hash of the server's identifier and start time
	 */
	public long incarnation() {
		return this.incarnation;
	}

	/**
	 * Returns the server's current registration.
	 * @return the registration that this host applied last
	 */
	public ServerEntry entry() {
		return this.entry;
	}

	/**
	 * Replaces the server's registration.
	 * @param now the new registration
	 */
	public void update(ServerEntry now) {
		this.entry = now;
	}

	/**
	 * Called when a request is sent to the server; counts the attempt as in progress and
	 * adds its prefill time to that of the pending requests.
	 * @param prefillMillis estimated time until the response begins, in milliseconds
	 */
	public void attemptStarted(double prefillMillis) {
		this.inFlight++;
		this.pendingMillis += prefillMillis;
	}

	/**
	 * Subtracts a request's prefill time from that of the pending requests. Called when
	 * its response has begun, or when it is known that it will not begin.
	 * @param prefillMillis the estimate that was passed when the request was sent, in
	 * milliseconds
	 */
	public void responseStarted(double prefillMillis) {
		this.pendingMillis = Math.max(0, this.pendingMillis - prefillMillis);
	}

	/**
	 * Returns the summed prefill time of this host's requests whose responses have not
	 * begun.
	 * @return estimate in milliseconds
	 */
	public double pendingMillis() {
		return this.pendingMillis;
	}

	/**
	 * Records that the server has processed a prompt prefix and therefore has it in its
	 * cache.
	 * @param prefix hash of the prefix and the model
	 * @param nowNanos monotonic time in nanoseconds
	 */
	public void prefixProcessed(long prefix, long nowNanos) {
		this.prefixReadAt.put(prefix, nowNanos);
	}

	/**
	 * Returns whether the server has recently processed a prompt prefix.
	 * @param prefix hash of the prefix and the model
	 * @param sinceNanos earliest monotonic time that counts as recent
	 * @return whether the prefix is probably still in the server's cache
	 */
	public boolean likelyCached(long prefix, long sinceNanos) {
		Long read = this.prefixReadAt.get(prefix);
		return read != null && read - sinceNanos >= 0;
	}

	/**
	 * Returns the length of the server's queue, according to its last load report.
	 * @param nowNanos monotonic time in nanoseconds
	 * @param maxAgeNanos age from which a report is ignored
	 * @return number of requests, reduced linearly with the age of the report; 0 without
	 * a report
	 */
	public double queued(long nowNanos, long maxAgeNanos) {
		if (!this.reported) {
			return 0;
		}
		return Math.max(0, 1 - (double) (nowNanos - this.reportedAt) / maxAgeNanos) * this.reportedQueued;
	}

	/**
	 * Called when an attempt at the server has ended, so that it is no longer counted as
	 * in progress.
	 */
	public void attemptEnded() {
		this.inFlight--;
	}

	/**
	 * Returns the number of attempts of this host that are in progress at the server.
	 * @return number of attempts
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Records a load report of the server.
	 * @param running requests in progress at the server
	 * @param waiting requests in the server's queue
	 * @param nowNanos monotonic time in nanoseconds
	 */
	public void report(int running, int waiting, long nowNanos) {
		this.reportedRunning = running;
		this.reportedQueued = waiting;
		double smoothing = this.reported ? REPORT_SMOOTHING : 1;
		this.meanLoad += smoothing * (running + waiting - this.meanLoad);
		this.reportedAt = nowNanos;
		this.reported = true;
		this.memory.reported(running, nowNanos);
	}

	/**
	 * Records how long work takes on the server's machine.
	 * @param percent time in percent of the usual one
	 * @param nowNanos monotonic time of the report in nanoseconds
	 */
	public void reportSlowdown(int percent, long nowNanos) {
		this.slowdownPercent = OptionalInt.of(percent);
		this.slowdownAt = nowNanos;
		this.speed.reported(percent, nowNanos);
	}

	/**
	 * Returns what requests hold in the server's memory.
	 * @return the estimate, which is used for services with slowdown reports only
	 */
	public ServerMemory memory() {
		return this.memory;
	}

	/**
	 * Returns how long work takes at the server.
	 * @return the estimate, which is used for services with slowdown reports only
	 */
	public ServerSpeed speed() {
		return this.speed;
	}

	/**
	 * Returns how long work takes on the server's machine, according to its newest
	 * report.
	 * @return time in percent of the usual one, empty without a report
	 */
	public OptionalInt slowdownPercent() {
		return this.slowdownPercent;
	}

	/**
	 * Returns when the newest slowdown was reported.
	 * @return monotonic time in nanoseconds; meaningless without such a report
	 */
	public long slowdownNanos() {
		return this.slowdownAt;
	}

	/**
	 * Estimates the number of requests in the server's slots and queue.
	 * @param nowNanos monotonic time in nanoseconds
	 * @param maxAgeNanos age from which a report is ignored
	 * @return the reported number, reduced linearly with the age of the report; at least
	 * the number of this host's own attempts
	 */
	public double load(long nowNanos, long maxAgeNanos) {
		if (!this.reported) {
			return this.inFlight;
		}
		double weight = Math.max(0, 1 - (double) (nowNanos - this.reportedAt) / maxAgeNanos);
		return Math.max(this.inFlight, weight * (this.reportedRunning + this.reportedQueued));
	}

	/**
	 * Estimates the number of requests in the server's slots and queue, also long after
	 * its last report.
	 * @param nowNanos monotonic time in nanoseconds
	 * @param maxAgeNanos age from which the mean of the reports counts instead of the
	 * newest one
	 * @return the number, at least that of this host's own attempts
	 */
	public double expectedLoad(long nowNanos, long maxAgeNanos) {
		double newestWeight = reportWeight(nowNanos, maxAgeNanos);
		int newest = this.reportedRunning + this.reportedQueued;
		return Math.max(this.inFlight, newestWeight * newest + (1 - newestWeight) * this.meanLoad);
	}

	private double reportWeight(long nowNanos, long maxAgeNanos) {
		return this.reported ? Math.max(0, 1 - (double) (nowNanos - this.reportedAt) / maxAgeNanos) : 0;
	}

	/**
	 * Records a successful response, which ends the ejection and the series of
	 * consecutive failures.
	 */
	public void succeeded() {
		this.consecutiveFailures = 0;
		this.ejectedUntil = 0;
	}

	/**
	 * Records a failure that the server caused.
	 * @param nowNanos monotonic time in nanoseconds
	 * @return whether the server is ejected (not chosen while others are left) from now
	 * on; false after the first failure in a row
	 */
	public boolean failed(long nowNanos) {
		this.consecutiveFailures++;
		if (this.consecutiveFailures < FAILURES_BEFORE_EJECTION) {
			return false;
		}
		int doublings = Math.min(MAX_DOUBLINGS, this.consecutiveFailures - FAILURES_BEFORE_EJECTION);
		this.ejectedUntil = nowNanos + (FIRST_EJECTION_NANOS << doublings);
		return true;
	}

	/**
	 * Called when bytes arrive from the server; runs the callbacks that have not expired.
	 * @param nowNanos monotonic time in nanoseconds
	 */
	public void bytesReceived(long nowNanos) {
		this.receivedAt = nowNanos;
		this.everReceived = true;
		if (!this.callbacks.isEmpty()) {
			List<PendingCallback> due = List.copyOf(this.callbacks);
			this.callbacks.clear();
			due.stream()
				.filter((pending) -> nowNanos - pending.expiresNanos() <= 0)
				.forEach((pending) -> pending.callback().run());
		}
	}

	/**
	 * Runs a callback once bytes arrive from the server: at once if some have arrived
	 * since the given time, otherwise when the next ones arrive within
	 * {@link #CALLBACK_TIMEOUT_NANOS}. Bytes that arrive later are taken to come from a
	 * server that was cut off or suspended, and the callback is discarded.
	 * @param sinceNanos earliest monotonic time that counts
	 * @param nowNanos monotonic time in nanoseconds
	 * @param callback the callback; discarded without being run if too many are waiting,
	 * and when the server's state is discarded
	 */
	public void whenReceivedSince(long sinceNanos, long nowNanos, Runnable callback) {
		if (receivedSince(sinceNanos)) {
			callback.run();
		}
		else if (this.callbacks.size() < MAX_CALLBACKS) {
			this.callbacks.add(new PendingCallback(nowNanos + CALLBACK_TIMEOUT_NANOS, callback));
		}
	}

	/**
	 * Returns whether bytes have arrived from the server since a given time.
	 * @param sinceNanos earliest monotonic time that counts
	 * @return whether any have arrived
	 */
	public boolean receivedSince(long sinceNanos) {
		return this.everReceived && this.receivedAt - sinceNanos >= 0;
	}

	/**
	 * Ejects the server at once, without waiting for a second failure, because it does
	 * not respond.
	 * @param nowNanos monotonic time in nanoseconds
	 */
	public void unresponsive(long nowNanos) {
		this.consecutiveFailures = Math.max(this.consecutiveFailures, FAILURES_BEFORE_EJECTION - 1);
		failed(nowNanos);
	}

	/**
	 * Returns whether the server is ejected because of recent failures.
	 * @param nowNanos monotonic time in nanoseconds
	 * @return whether it is to be chosen only if no other server is left
	 */
	public boolean ejected(long nowNanos) {
		return this.ejectedUntil != 0 && nowNanos - this.ejectedUntil < 0;
	}

	/**
	 * Callback that waits for bytes of the server. Immutable.
	 *
	 * @param expiresNanos monotonic time after which it is no longer run
	 * @param callback the callback
	 */
	private record PendingCallback(long expiresNanos, Runnable callback) {
	}

}
