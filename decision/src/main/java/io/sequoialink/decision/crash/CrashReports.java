package io.sequoialink.decision.crash;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts the backend servers that crashed while they ran requests of the same content, as
 * this host saw it and as others reported. Confined to one thread.
 *
 * <p>
 * Invariants: a crash adds to this host's count only if its request was sent after the
 * crash that was counted before, so servers that crash together count once; reports of
 * several hosts count once if their crashes lie within {@link #TOGETHER_NANOS}; a whole
 * answer on this host ends every suspicion that is older.
 */
public final class CrashReports {

	/** Crashes after which a content is not run again. */
	public static final int LIMIT = 3;

	/** Crashes that different hosts saw within this time may be the same event. */
	static final long TOGETHER_NANOS = 1_000_000_000L;

	/** Time after its last crash for which a content is remembered, in nanoseconds. */
	static final long KEPT_NANOS = 600_000_000_000L;

	private static final int MAX_CONTENTS = 512;

	private final String self;

	private final Map<Long, Map<String, Report>> reports = bounded();

	private final Map<Long, Long> answered = bounded();

	/**
	 * Creates an empty count.
	 * @param self name of this host
	 */
	public CrashReports(String self) {
		this.self = self;
	}

	private static <V> Map<Long, V> bounded() {
		return new LinkedHashMap<>(16, 0.75f, true) {
			@Override
			protected boolean removeEldestEntry(Map.Entry<Long, V> eldest) {
				return size() > MAX_CONTENTS;
			}
		};
	}

	/**
	 * Returns whether any content is suspect.
	 * @return whether there is a report
	 */
	public boolean any() {
		return !this.reports.isEmpty();
	}

	/**
	 * Takes a crash that this host saw.
	 * @param content hash of the request's content
	 * @param sentNanos monotonic time at which the request was sent to the server
	 * @param crashedNanos monotonic time of the crash
	 * @return whether it was counted
	 */
	public boolean crashed(long content, long sentNanos, long crashedNanos) {
		Report before = of(content).get(this.self);
		if (before != null && sentNanos - before.atNanos < 0) {
			return false;
		}
		int crashes = (before != null) ? before.crashes + 1 : 1;
		of(content).put(this.self, new Report(crashes, crashedNanos));
		return true;
	}

	/**
	 * Takes what a host reported, this one in an earlier life included.
	 * @param host name of the host
	 * @param content hash of the request's content
	 * @param crashes crashes that the host counted
	 * @param atNanos monotonic time of the last of them
	 */
	public void reported(String host, long content, int crashes, long atNanos) {
		Long whole = this.answered.get(content);
		if (whole != null && atNanos - whole <= 0) {
			return;
		}
		of(content).merge(host, new Report(crashes, atNanos),
				(known, told) -> (told.crashes > known.crashes) ? told : known);
	}

	private Map<String, Report> of(long content) {
		return this.reports.computeIfAbsent(content, (key) -> new HashMap<>());
	}

	/**
	 * Takes a whole answer.
	 * @param content hash of the request's content
	 * @param nowNanos monotonic time
	 */
	public void answered(long content, long nowNanos) {
		if (this.reports.remove(content) != null) {
			this.answered.put(content, nowNanos);
		}
	}

	/**
	 * Returns how many crashes the content is taken to have caused.
	 * @param content hash of the request's content
	 * @return number of crashes
	 */
	public int crashes(long content) {
		Map<String, Report> known = this.reports.get(content);
		if (known == null) {
			return 0;
		}
		List<Report> ordered = new ArrayList<>(known.values());
		ordered.sort(Comparator.comparingLong(Report::atNanos));
		int sum = 0;
		int together = 0;
		long began = Long.MIN_VALUE;
		for (Report report : ordered) {
			if (together == 0 || report.atNanos - began > TOGETHER_NANOS) {
				sum += together;
				together = 0;
				began = report.atNanos;
			}
			together = Math.max(together, report.crashes);
		}
		return sum + together;
	}

	/**
	 * Returns whether the content is not to be run again.
	 * @param content hash of the request's content
	 * @return whether it crashed too many servers
	 */
	public boolean blocked(long content) {
		return crashes(content) >= LIMIT;
	}

	/**
	 * Returns what this host counted itself.
	 * @return counts by content
	 */
	public Map<Long, Report> own() {
		Map<Long, Report> own = new HashMap<>();
		this.reports.forEach((content, hosts) -> {
			Report report = hosts.get(this.self);
			if (report != null) {
				own.put(content, report);
			}
		});
		return own;
	}

	/**
	 * Forgets contents that have long caused no crash.
	 * @param nowNanos monotonic time
	 */
	public void expire(long nowNanos) {
		Iterator<Map<String, Report>> all = this.reports.values().iterator();
		while (all.hasNext()) {
			Map<String, Report> hosts = all.next();
			hosts.values().removeIf((report) -> nowNanos - report.atNanos > KEPT_NANOS);
			if (hosts.isEmpty()) {
				all.remove();
			}
		}
	}

	/**
	 * Crashes that one host counted. Immutable.
	 *
	 * @param crashes number of crashes
	 * @param atNanos monotonic time of the last of them
	 */
	public record Report(int crashes, long atNanos) {
	}

}
