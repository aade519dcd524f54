package io.sequoialink.decision.limits;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Estimate of one host, from the load reports and rejections in the responses that it
 * got, which share of the requests it is offered the servers of a service can serve in
 * time. Times are monotonic nanoseconds of an injected clock. Confined to one thread.
 *
 * <p>
 * Reports are too rare to show a server's present queue, so the share depends on the mean
 * of the reported queues over some seconds, as a ratio to the queue that is wanted. All
 * hosts see the same queues, so their shares agree without messages.
 *
 * <p>
 * Invariants: one report or rejection has a weight of at most {@link #MAX_WEIGHT} and
 * counts as at most {@link #MAX_RATIO}, so none by itself takes a host that knew of no
 * queues to a share below 1; without news the share returns to 1.
 */
public final class ServiceCapacity {

	/**
	 * Part of a request's target latency that it may spend in a server's queue; the rest
	 * is for its processing and for queues that grow before the host learns of it.
	 */
	private static final double QUEUE_SHARE = 0.25;

	/**
	 * Exponent by which the share falls as the mean queue exceeds the wanted one.
	 */
	private static final double STEEPNESS = 2;

	/** Lowest share, so that a host notices when capacity returns. */
	private static final double MIN_SHARE = 0.02;

	/** Time constant of the mean of the reports, in nanoseconds. */
	private static final double MEAN_NANOS = 4e9;

	/** Time constant of the mean of the share, in nanoseconds. */
	private static final double STEADY_NANOS = 30e9;

	/** Largest weight of one report or rejection in the mean. */
	static final double MAX_WEIGHT = 0.15;

	/**
	 * Largest ratio that a report counts as. A rejection counts as this.
	 */
	static final double MAX_RATIO = 3;

	/** Age of the newest report from which on the mean returns to 0, in nanoseconds. */
	private static final double STALE_NANOS = 2e9;

	/** Time that this return takes, in nanoseconds. */
	private static final double RETURN_NANOS = 4e9;

	/** Age from which a report does not describe its server any more, in nanoseconds. */
	private static final long RECENT_NANOS = TimeUnit.SECONDS.toNanos(2);

	/**
	 * Time for which a rejection shows that a server is full, in nanoseconds. Its queue
	 * has mostly moved on by then.
	 */
	private static final long FULL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	/** Weight of one duration in the mean time that a server works on a request. */
	private static final double WORK_WEIGHT = 0.05;

	/** Time that a server is assumed to work on a request while none is known. */
	private static final double DEFAULT_WORK_SHARE = 0.25;

	private static final int MAX_SERVERS = 2048;

	private static final double NANOS_PER_MILLI = 1e6;

	private final Map<Long, Server> servers = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Server> eldest) {
			return size() > MAX_SERVERS;
		}
	};

	private double meanRatio;

	private double steadyShare = 1;

	private long observedNanos;

	private boolean observed;

	private double workMillis = Double.NaN;

	private boolean everRejected;

	private long lastRejectedNanos;

	/**
	 * Records a load report.
	 * @param server incarnation of the server
	 * @param running requests that it is processing
	 * @param waiting requests in its queue
	 * @param slots requests that it can process concurrently
	 * @param targetMillis target latency of the request whose response brought the
	 * report, in milliseconds; 0 if it has none
	 * @param nowNanos current time
	 */
	public void reported(long server, int running, int waiting, int slots, long targetMillis, long nowNanos) {
		Server state = server(server);
		state.reported = true;
		state.reportedNanos = nowNanos;
		state.free = waiting == 0 && running < slots;
		state.rejected &= !state.free && waiting >= state.waiting;
		state.waiting = waiting;
		state.queuePerSlot = (double) waiting / slots;
		if (targetMillis > 0) {
			observe(queueMillis(state, targetMillis) / (QUEUE_SHARE * targetMillis), nowNanos);
		}
	}

	/**
	 * Records that a server rejected a request because it is full.
	 * @param server incarnation of the server
	 * @param nowNanos current time
	 */
	public void rejected(long server, long nowNanos) {
		Server state = server(server);
		state.rejected = true;
		state.rejectedNanos = nowNanos;
		state.free = false;
		this.everRejected = true;
		this.lastRejectedNanos = nowNanos;
		observe(MAX_RATIO, nowNanos);
	}

	/**
	 * Records for how long a server worked on a request that it did not keep in its
	 * queue.
	 * @param millis duration in milliseconds
	 */
	public void worked(double millis) {
		this.workMillis = Double.isNaN(this.workMillis) ? millis
				: this.workMillis + WORK_WEIGHT * (millis - this.workMillis);
	}

	// The ratio is that of a queue to the wanted one.
	private void observe(double ratio, long nowNanos) {
		double elapsed = this.observed ? nowNanos - this.observedNanos : 0;
		this.steadyShare += (1 - Math.exp(-elapsed / STEADY_NANOS)) * (share(nowNanos) - this.steadyShare);
		double weight = Math.min(MAX_WEIGHT, 1 - Math.exp(-elapsed / MEAN_NANOS));
		double before = meanRatio(nowNanos);
		this.meanRatio = before + weight * (Math.min(MAX_RATIO, ratio) - before);
		this.observedNanos = nowNanos;
		this.observed = true;
	}

	private double meanRatio(long nowNanos) {
		double stale = Math.max(0, nowNanos - this.observedNanos - STALE_NANOS) / RETURN_NANOS;
		return this.meanRatio * Math.max(0, 1 - stale);
	}

	/**
	 * Returns the share of the offered requests that the service can serve in time.
	 * @param nowNanos current time
	 * @return share, 1 if nothing is known of a shortage
	 */
	public double share(long nowNanos) {
		return shareAt(meanRatio(nowNanos));
	}

	/**
	 * Returns the smaller of the share and its mean over half a minute, so that a
	 * momentary rise of the share is not lent to accounts beyond their fair share.
	 * @param nowNanos current time
	 * @return share, 1 if nothing is known of a shortage
	 */
	double lendingShare(long nowNanos) {
		boolean known = this.observed && nowNanos - this.observedNanos < STALE_NANOS + RETURN_NANOS;
		return known ? Math.min(share(nowNanos), this.steadyShare) : 1;
	}

	private static double shareAt(double ratio) {
		return Math.max(MIN_SHARE, Math.min(1, Math.pow(ratio, -STEEPNESS)));
	}

	/**
	 * Returns whether most servers reported lately that they have a free slot and an
	 * empty queue.
	 * @param usable incarnations of the usable servers
	 * @param nowNanos current time
	 * @return whether that is so for more than half of those of which a report is known
	 */
	boolean mostlyFree(Collection<Long> usable, long nowNanos) {
		int known = 0;
		int free = 0;
		for (Long id : usable) {
			Server state = this.servers.get(id);
			if (recentlyReported(state, nowNanos)) {
				known++;
				free += state.free ? 1 : 0;
			}
		}
		return 2 * free > known;
	}

	/**
	 * Returns whether a server rejected a request a moment ago and has not reported a
	 * shorter queue since.
	 * @param server incarnation of the server
	 * @param nowNanos current time
	 * @return whether another request would probably be rejected too
	 */
	public boolean full(long server, long nowNanos) {
		Server state = this.servers.get(server);
		return state != null && state.rejected && nowNanos - state.rejectedNanos < FULL_NANOS;
	}

	/**
	 * Returns whether a server has become full since a given time.
	 * @param server incarnation of the server
	 * @param sinceNanos the time
	 * @param nowNanos current time
	 * @return whether it is full and rejected a request since
	 */
	public boolean fullSince(long server, long sinceNanos, long nowNanos) {
		return full(server, nowNanos) && this.servers.get(server).rejectedNanos - sinceNanos > 0;
	}

	/**
	 * Returns whether any server rejected a request a moment ago.
	 * @param nowNanos current time
	 * @return false if no server needs to be asked about
	 */
	public boolean anyFull(long nowNanos) {
		return this.everRejected && nowNanos - this.lastRejectedNanos < FULL_NANOS;
	}

	boolean allFull(Collection<Long> usable, long nowNanos) {
		return !usable.isEmpty() && usable.stream().allMatch((id) -> full(id, nowNanos));
	}

	/**
	 * Returns the time until the first server that is full may take requests again.
	 * @param usable incarnations of the usable servers
	 * @param nowNanos current time
	 * @return time in nanoseconds, 0 if one is not full
	 */
	public long fullNanos(Collection<Long> usable, long nowNanos) {
		return usable.stream()
			.mapToLong((id) -> full(id, nowNanos) ? this.servers.get(id).rejectedNanos + FULL_NANOS - nowNanos : 0)
			.min()
			.orElse(0);
	}

	/**
	 * Returns the age of the newest report or rejection.
	 * @param nowNanos current time
	 * @return age in milliseconds, -1 if there is none
	 */
	public long ageMillis(long nowNanos) {
		return this.observed ? (long) ((nowNanos - this.observedNanos) / NANOS_PER_MILLI) : -1;
	}

	// Returns 0 if the shortest queue is not known.
	double shortestQueueMillis(Collection<Long> usable, long targetMillis, long nowNanos) {
		return usable.stream()
			.map(this.servers::get)
			.mapToDouble((state) -> recentlyReported(state, nowNanos) ? queueMillis(state, targetMillis) : 0)
			.min()
			.orElse(0);
	}

	private static boolean recentlyReported(Server state, long nowNanos) {
		return state != null && state.reported && nowNanos - state.reportedNanos < RECENT_NANOS;
	}

	private double queueMillis(Server state, long targetMillis) {
		double work = Double.isNaN(this.workMillis) ? DEFAULT_WORK_SHARE * targetMillis : this.workMillis;
		return state.queuePerSlot * work;
	}

	private Server server(long id) {
		return this.servers.computeIfAbsent(id, (absent) -> new Server());
	}

	/** What is known of one server. */
	private static final class Server {

		private boolean reported;

		private long reportedNanos;

		private boolean free;

		private int waiting;

		private double queuePerSlot;

		private boolean rejected;

		private long rejectedNanos;

	}

}
