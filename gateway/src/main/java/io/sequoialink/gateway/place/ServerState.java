package io.sequoialink.gateway.place;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.dynatrace.hash4j.hashing.Hashing;
import io.sequoialink.gateway.fleet.ServerEntry;

/**
 * One backend server with what this host has sent to it and heard from it. Confined to
 * the event loop.
 */
public final class ServerState {

	/** Parts of prompts that are remembered for a server. */
	private static final int MAX_READ_PARTS = 512;

	/** How long a server is avoided after its first failure in a row, in nanoseconds. */
	private static final long FIRST_AVOIDANCE_NANOS = 500_000_000L;

	private static final int MAX_DOUBLINGS = 4;

	private static final int FAILURES_BEFORE_AVOIDANCE = 2;

	/** Time for which work waits until the server is heard of, in nanoseconds. */
	static final long AWAITED_NANOS = 1_000_000_000L;

	/** Work that waits at most until the server is heard of again. */
	private static final int MAX_ONCE_HEARD = 64;

	private final long incarnation;

	private ServerEntry entry;

	private int inFlight;

	private double pendingMillis;

	private final Map<Long, Long> readParts = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
			return size() > MAX_READ_PARTS;
		}
	};

	private int reportedRunning;

	private int reportedWaiting;

	private long reportedAt;

	private boolean reported;

	private int failuresInRow;

	private long avoidedUntil;

	private long heardAt;

	private boolean heardOnce;

	private final List<Awaiting> onceHeard = new ArrayList<>();

	/**
	 * Creates the state of a server that has received nothing yet.
	 * @param entry what the server says of itself
	 */
	public ServerState(ServerEntry entry) {
		this.entry = entry;
		this.incarnation = incarnation(entry);
	}

	/**
	 * Returns the name of a server's incarnation that all hosts use.
	 * @param entry what the server says of itself
	 * @return hash of its identifier and its start
	 */
	public static long incarnation(ServerEntry entry) {
		return Hashing.wyhashFinal4().hashStream().putString(entry.id()).putLong(entry.bornMillis()).getAsLong();
	}

	/**
	 * Returns the name of this incarnation that all hosts use.
	 * @return the hash
	 */
	public long incarnation() {
		return this.incarnation;
	}

	/**
	 * Returns what the server says of itself.
	 * @return the entry
	 */
	public ServerEntry entry() {
		return this.entry;
	}

	/**
	 * Replaces what the server says of itself.
	 * @param now the new entry
	 */
	public void update(ServerEntry now) {
		this.entry = now;
	}

	/**
	 * Notes that a request is sent.
	 * @param work time that the server needs until its answer begins, in milliseconds
	 */
	public void sent(double work) {
		this.inFlight++;
		this.pendingMillis += work;
	}

	/**
	 * Notes that the server's answer to a request has begun, or will not begin.
	 * @param work the time that was noted when it was sent, in milliseconds
	 */
	public void begun(double work) {
		this.pendingMillis = Math.max(0, this.pendingMillis - work);
	}

	/**
	 * Returns the time that the server needs for the requests of this host whose answers
	 * have not begun.
	 * @return estimate in milliseconds
	 */
	public double pendingMillis() {
		return this.pendingMillis;
	}

	/**
	 * Notes that the server has read a part of a prompt.
	 * @param part hash of part and model
	 * @param nowNanos monotonic time
	 */
	public void hasRead(long part, long nowNanos) {
		this.readParts.put(part, nowNanos);
	}

	/**
	 * Returns whether the server has read a part of a prompt of late.
	 * @param part hash of part and model
	 * @param sinceNanos earliest monotonic time that counts
	 * @return whether it likely holds the part in memory
	 */
	public boolean holds(long part, long sinceNanos) {
		Long read = this.readParts.get(part);
		return read != null && read - sinceNanos >= 0;
	}

	/**
	 * Returns the requests that waited for their turn when the server last reported.
	 * @param nowNanos monotonic time
	 * @param fadeNanos time after which a report counts for nothing
	 * @return number of requests, less with the report's age
	 */
	public double waiting(long nowNanos, long fadeNanos) {
		if (!this.reported) {
			return 0;
		}
		return Math.max(0, 1 - (double) (nowNanos - this.reportedAt) / fadeNanos) * this.reportedWaiting;
	}

	/**
	 * Notes that a send has ended.
	 */
	public void ended() {
		this.inFlight--;
	}

	/**
	 * Returns the requests of this host that are under way there.
	 * @return number of requests
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Takes a report of the server's load.
	 * @param running requests that it processes
	 * @param waiting requests in its queue
	 * @param nowNanos monotonic time
	 */
	public void report(int running, int waiting, long nowNanos) {
		this.reportedRunning = running;
		this.reportedWaiting = waiting;
		this.reportedAt = nowNanos;
		this.reported = true;
	}

	/**
	 * Estimates the requests that occupy or await the server's slots.
	 * @param nowNanos monotonic time
	 * @param fadeNanos time after which a report counts for nothing
	 * @return estimate, at least the requests of this host
	 */
	public double load(long nowNanos, long fadeNanos) {
		if (!this.reported) {
			return this.inFlight;
		}
		double weight = Math.max(0, 1 - (double) (nowNanos - this.reportedAt) / fadeNanos);
		return Math.max(this.inFlight, weight * (this.reportedRunning + this.reportedWaiting));
	}

	/**
	 * Notes an answer that shows the server to be sound.
	 */
	public void succeeded() {
		this.failuresInRow = 0;
		this.avoidedUntil = 0;
	}

	/**
	 * Notes a failure that the server caused.
	 * @param nowNanos monotonic time
	 * @return whether the server is avoided from now on
	 */
	public boolean failed(long nowNanos) {
		this.failuresInRow++;
		if (this.failuresInRow < FAILURES_BEFORE_AVOIDANCE) {
			return false;
		}
		int doublings = Math.min(MAX_DOUBLINGS, this.failuresInRow - FAILURES_BEFORE_AVOIDANCE);
		this.avoidedUntil = nowNanos + (FIRST_AVOIDANCE_NANOS << doublings);
		return true;
	}

	/**
	 * Notes that bytes of the server arrived.
	 * @param nowNanos monotonic time
	 */
	public void heard(long nowNanos) {
		this.heardAt = nowNanos;
		this.heardOnce = true;
		if (!this.onceHeard.isEmpty()) {
			List<Awaiting> due = List.copyOf(this.onceHeard);
			this.onceHeard.clear();
			due.stream().filter((work) -> nowNanos - work.untilNanos() <= 0).forEach((work) -> work.work().run());
		}
	}

	/**
	 * Runs work if the server is heard of within {@link #AWAITED_NANOS}: at once if it
	 * was since a time. One that is heard of later was cut off or stood still.
	 * @param sinceNanos earliest monotonic time that counts
	 * @param nowNanos monotonic time
	 * @param work the work; forgotten with the server, and if too much of it waits
	 */
	public void onceHeardSince(long sinceNanos, long nowNanos, Runnable work) {
		if (heardSince(sinceNanos)) {
			work.run();
		}
		else if (this.onceHeard.size() < MAX_ONCE_HEARD) {
			this.onceHeard.add(new Awaiting(nowNanos + AWAITED_NANOS, work));
		}
	}

	/**
	 * Returns whether anything was heard of the server.
	 * @param sinceNanos earliest monotonic time that counts
	 * @return whether bytes of it arrived since
	 */
	public boolean heardSince(long sinceNanos) {
		return this.heardOnce && this.heardAt - sinceNanos >= 0;
	}

	/**
	 * Avoids the server for a moment, since it does not answer.
	 * @param nowNanos monotonic time
	 */
	public void silent(long nowNanos) {
		this.failuresInRow = Math.max(this.failuresInRow, FAILURES_BEFORE_AVOIDANCE - 1);
		failed(nowNanos);
	}

	/**
	 * Returns whether the server failed of late.
	 * @param nowNanos monotonic time
	 * @return whether it is to be used only if nothing else is left
	 */
	public boolean avoided(long nowNanos) {
		return this.avoidedUntil != 0 && nowNanos - this.avoidedUntil < 0;
	}

	/**
	 * Work that waits until the server is heard of. Immutable.
	 *
	 * @param untilNanos monotonic time up to which it is worth running
	 * @param work the work
	 */
	private record Awaiting(long untilNanos, Runnable work) {
	}

}
