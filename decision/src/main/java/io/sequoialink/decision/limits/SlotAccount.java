package io.sequoialink.decision.limits;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * Account of a brittle backend server's slots, kept by the one host that gives them to
 * all: how many requests each host has at the server, and how many more it takes.
 * Confined to one thread.
 *
 * <p>
 * Invariants: a slot is given only while the requests that all hosts report, and those
 * given since, are fewer than the server is believed to take. That number never exceeds
 * the server's slots, falls when the server turns a request away and rises slowly. No
 * slot is given for the rest of a second in which the server has turned away half of what
 * would make it fall over. A host that reports nothing for a while counts no more.
 */
public final class SlotAccount {

	/** Age from which a host's report is dropped. */
	static final long REPORT_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(2);

	/** Part of its slots by which more requests are tried than the server last took. */
	private static final int RAISE_PARTS = 16;

	/** Time between two such raises. */
	static final long RAISE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/** Window over which a server counts the requests that it turns away. */
	public static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** Part of the rejections that a server bears after which no slot is given. */
	private static final double USABLE_REJECTIONS = 0.5;

	/**
	 * Time after its first report in which an account may not know of all requests yet,
	 * and gives half of the slots.
	 */
	static final long LEARNING_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

	/**
	 * A server that bears fewer rejections keeps one slot for what hosts cannot know of,
	 * such as a connection that is being opened.
	 */
	private static final double FEW_REJECTIONS = 2;

	private final Map<String, Holding> holdings = new HashMap<>();

	private final Deque<Long> turnedAway = new ArrayDeque<>();

	private int capacity = Integer.MAX_VALUE;

	private long raisedNanos;

	private boolean reported;

	private long firstReportNanos;

	/**
	 * Records a report of a host.
	 * @param host name of the host
	 * @param report the report; an older one than the last is ignored
	 * @param nowNanos monotonic time in nanoseconds
	 */
	public void report(String host, Report report, long nowNanos) {
		if (!this.reported) {
			this.reported = true;
			this.firstReportNanos = nowNanos;
		}
		Holding holding = this.holdings.computeIfAbsent(host, (name) -> new Holding());
		if (holding.known && report.sequence() - holding.sequence <= 0) {
			return;
		}
		long newlyTurnedAway = holding.known ? Math.max(0, report.turnedAway() - holding.turnedAway) : 0;
		holding.known = true;
		holding.sequence = report.sequence();
		holding.turnedAway = report.turnedAway();
		holding.held = report.held();
		holding.given.headSet(report.lastDecided(), true).clear();
		holding.atNanos = nowNanos;
		if (newlyTurnedAway > 0) {
			recordTurnedAway(newlyTurnedAway, nowNanos);
		}
	}

	private void recordTurnedAway(long count, long nowNanos) {
		for (long i = 0; i < Math.min(count, 1024); i++) {
			this.turnedAway.addLast(nowNanos);
		}
		if (nowNanos - this.firstReportNanos >= LEARNING_NANOS) {
			this.capacity = Math.max(1, Math.min(this.capacity, inUse(nowNanos)));
			this.raisedNanos = nowNanos;
		}
	}

	/**
	 * Returns the number of requests at the server, as far as it is known.
	 * @param nowNanos monotonic time in nanoseconds
	 * @return requests that hosts reported, and slots given since
	 */
	public int inUse(long nowNanos) {
		this.holdings.values().removeIf((holding) -> nowNanos - holding.atNanos > REPORT_EXPIRY_NANOS);
		return this.holdings.values().stream().mapToInt((holding) -> holding.held + holding.given.size()).sum();
	}

	/**
	 * Gives a slot to a host if one is free.
	 * @param host name of the host, which has reported before
	 * @param number number of its question, higher than those before
	 * @param server what is known of the server
	 * @param nowNanos monotonic time in nanoseconds
	 * @return whether the host may send a request
	 */
	public boolean give(String host, long number, Server server, long nowNanos) {
		this.turnedAway.removeIf((at) -> nowNanos - at > WINDOW_NANOS);
		boolean fragile = this.turnedAway.size() >= Math.max(1, USABLE_REJECTIONS * server.rejections());
		Holding holding = this.holdings.get(host);
		if (holding != null && holding.given.contains(number)) {
			return true;
		}
		if (fragile || holding == null) {
			return false;
		}
		raise(usableSlots(server), nowNanos);
		boolean learning = nowNanos - this.firstReportNanos < LEARNING_NANOS;
		int most = learning ? Math.max(1, Math.min(this.capacity, server.slots() / 2)) : this.capacity;
		if (inUse(nowNanos) >= most) {
			return false;
		}
		holding.given.add(number);
		return true;
	}

	private static int usableSlots(Server server) {
		boolean keepsOne = server.rejections() < FEW_REJECTIONS && server.slots() > 2;
		return keepsOne ? server.slots() - 1 : server.slots();
	}

	private void raise(int slots, long nowNanos) {
		if (this.capacity >= slots) {
			this.capacity = Math.max(1, slots);
			this.raisedNanos = nowNanos;
		}
		else if (nowNanos - this.raisedNanos >= RAISE_NANOS) {
			this.capacity = Math.min(slots, this.capacity + Math.max(1, slots / RAISE_PARTS));
			this.raisedNanos = nowNanos;
		}
	}

	/**
	 * Returns whether a host has reported of late.
	 * @param nowNanos monotonic time in nanoseconds
	 * @return whether the account says anything
	 */
	public boolean inUseByAny(long nowNanos) {
		inUse(nowNanos);
		return !this.holdings.isEmpty();
	}

	/**
	 * What a host reports. Immutable.
	 *
	 * @param sequence order of the host's reports
	 * @param lastDecided number of its last question whose answer it had got
	 * @param held its requests at the server
	 * @param turnedAway requests that the server has turned away since the host's start
	 */
	public record Report(long sequence, long lastDecided, int held, long turnedAway) {
	}

	/**
	 * What a server says of itself. Immutable.
	 *
	 * @param slots requests that it processes in parallel
	 * @param rejections requests that it can turn away in a second without falling over
	 */
	public record Server(int slots, double rejections) {
	}

	/** What one host has at the server. */
	private static final class Holding {

		private final TreeSet<Long> given = new TreeSet<>();

		private boolean known;

		private long sequence;

		private int held;

		private long turnedAway;

		private long atNanos;

	}

}
