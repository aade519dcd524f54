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
 * answer on this host ends every suspicion that is older; a content that is always lost
 * together with others needs more crashes to be blocked, since the others may cause them.
 */
public final class CrashReports {

	/**
	 * Crashes after which a content is not run again, if it was the only request that its
	 * host lost in one of them.
	 */
	public static final int LIMIT = 3;

	/**
	 * Crashes after which a content is not run again though others were always lost with
	 * it.
	 */
	static final int LIMIT_IN_COMPANY = 5;

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
	 * @param alone whether this host lost no other request with it
	 * @return whether it was counted
	 */
	public boolean crashed(long content, long sentNanos, long crashedNanos, boolean alone) {
		Report before = of(content).get(this.self);
		if (before != null && sentNanos - before.atNanos < 0) {
			return false;
		}
		Report known = (before != null) ? before : new Report(0, 0, crashedNanos);
		of(content).put(this.self, new Report(known.crashes + 1, known.alone + (alone ? 1 : 0), crashedNanos));
		return true;
	}

	/**
	 * Takes what a host reported, this one in an earlier life included.
	 * @param host name of the host
	 * @param content hash of the request's content
	 * @param report what the host counted
	 */
	public void reported(String host, long content, Report report) {
		Long whole = this.answered.get(content);
		if (whole != null && report.atNanos - whole <= 0) {
			return;
		}
		of(content).merge(host, report, (known, told) -> (told.crashes > known.crashes) ? told : known);
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
		int crashes = crashes(content);
		return crashes >= LIMIT_IN_COMPANY || (crashes >= LIMIT && everAlone(content));
	}

	private boolean everAlone(long content) {
		return this.reports.get(content).values().stream().anyMatch((report) -> report.alone > 0);
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
	 * @param alone how many of them took no other request of that host
	 * @param atNanos monotonic time of the last of them
	 */
	public record Report(int crashes, int alone, long atNanos) {
	}

}
