package io.sequoialink.decision.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Counts the backend servers that crashed while they ran requests with the same
 * fingerprint, as observed by this host and as reported by others. Confined to one
 * thread.
 *
 * <p>
 * Invariants: a crash counts at a host only if its request was sent after the previously
 * counted crash, so servers that crash together count once; the crash of a server counts
 * once, however many hosts observed it; crashes that two hosts observed both count only
 * if the later one's request was sent after the earlier crash and they are
 * {@link #MIN_SEPARATION_NANOS} apart; a complete response on any host ends all earlier
 * suspicions of the fingerprint. {@link CrashAttribution} evaluates all fingerprints
 * together.
 */
public final class CrashReports {

	/**
	 * Number of crashes from which a fingerprint is blocked if hardly anything else can
	 * have caused them, as defined by {@link CrashAttribution}.
	 */
	public static final int MIN_CRASHES = 3;

	/**
	 * Number of crashes from which a fingerprint is blocked even if another fingerprint
	 * was in progress on all but one of the servers that crashed while running it.
	 */
	static final int SHARED_CRASH_LIMIT = 5;

	/**
	 * Crashes that two hosts observed within this time may be one event, since the hosts'
	 * clocks differ, in nanoseconds.
	 */
	static final long MIN_SEPARATION_NANOS = 200_000_000L;

	/**
	 * Time after a crash by which all hosts that can reach the store have reported what
	 * they lost in it, in nanoseconds: they first wait for responses to retries, and
	 * reading the reports takes the rest.
	 */
	public static final long REPORT_DELAY_NANOS = 1_500_000_000L;

	/**
	 * Time after its last crash for which a fingerprint is remembered, in nanoseconds.
	 */
	static final long RETENTION_NANOS = 600_000_000_000L;

	/** Limit of remembered crashes per fingerprint and host; the newest are kept. */
	static final int MAX_CRASHES_PER_HOST = 8;

	private static final int MAX_FINGERPRINTS = 512;

	private final String self;

	private final Map<Long, Map<String, List<ServerCrash>>> reports = bounded();

	private final Map<Long, Long> completedAt = bounded();

	private CrashAttribution attribution;

	private Predicate<String> explained = (server) -> false;

	/**
	 * Creates reports without any crash.
	 * @param self name of this host
	 */
	public CrashReports(String self) {
		this.self = self;
	}

	private static <V> Map<Long, V> bounded() {
		return new LinkedHashMap<>(16, 0.75f, true) {
			@Override
			protected boolean removeEldestEntry(Map.Entry<Long, V> eldest) {
				return size() > MAX_FINGERPRINTS;
			}
		};
	}

	/**
	 * Leaves out crashes for which another reason is known. They count again if that
	 * reason turns out to be wrong.
	 * @param servers returns whether the crash of a server, given its incarnation, has
	 * another reason; called again when {@link #explanationsChanged()}
	 */
	public void leaveOut(Predicate<String> servers) {
		this.explained = servers;
		this.attribution = null;
	}

	/**
	 * Called when the set of crashes that are left out has changed.
	 */
	public void explanationsChanged() {
		this.attribution = null;
	}

	/**
	 * Returns whether any fingerprint is suspected of crashing servers.
	 * @return whether this host observed a crash or another one reported it
	 */
	public boolean anySuspects() {
		return !this.reports.isEmpty();
	}

	/**
	 * Records a crash that this host observed.
	 * @param fingerprint fingerprint of the request
	 * @param server incarnation of the server
	 * @param sentNanos monotonic time at which the request was sent to the server
	 * @param crashedNanos monotonic time of the crash
	 * @return whether the crash counts; false if this crash of the server was recorded
	 * before, or if it may be one event with an earlier crash
	 */
	public boolean recordCrash(long fingerprint, String server, long sentNanos, long crashedNanos) {
		List<ServerCrash> own = crashesByHost(fingerprint).computeIfAbsent(this.self, (host) -> new ArrayList<>());
		if (own.stream().anyMatch((crash) -> crash.server().equals(server))) {
			return false;
		}
		boolean counted = own.stream().noneMatch((crash) -> crash.counted() && sentNanos - crash.atNanos() < 0);
		add(own, new ServerCrash(server, sentNanos, crashedNanos, counted));
		return counted;
	}

	private void add(List<ServerCrash> crashes, ServerCrash crash) {
		if (crashes.size() == MAX_CRASHES_PER_HOST) {
			crashes.remove(0);
		}
		crashes.add(crash);
		this.attribution = null;
	}

	private Map<String, List<ServerCrash>> crashesByHost(long fingerprint) {
		return this.reports.computeIfAbsent(fingerprint, (key) -> new HashMap<>());
	}

	/**
	 * Replaces the crashes that a host has reported before by its new report. A report of
	 * this host itself stems from an earlier process of it; its crashes are added to
	 * those that the current process has observed.
	 * @param host name of the host
	 * @param report crashes by fingerprint
	 */
	public void replaceReport(String host, Map<Long, List<ServerCrash>> report) {
		this.attribution = null;
		if (!host.equals(this.self)) {
			forget(host);
		}
		report.forEach((fingerprint, crashes) -> {
			for (ServerCrash crash : crashes) {
				replaceReport(host, fingerprint, crash);
			}
		});
	}

	private void forget(String host) {
		Iterator<Map<String, List<ServerCrash>>> all = this.reports.values().iterator();
		while (all.hasNext()) {
			Map<String, List<ServerCrash>> hosts = all.next();
			hosts.remove(host);
			if (hosts.isEmpty()) {
				all.remove();
			}
		}
	}

	private void replaceReport(String host, long fingerprint, ServerCrash crash) {
		Long completed = this.completedAt.get(fingerprint);
		if (completed != null && crash.atNanos() - completed <= 0) {
			return;
		}
		List<ServerCrash> known = crashesByHost(fingerprint).computeIfAbsent(host, (key) -> new ArrayList<>());
		if (known.stream().noneMatch((other) -> other.server().equals(crash.server()))) {
			add(known, crash);
		}
	}

	/**
	 * Records a complete response, which ends all earlier suspicions of its fingerprint.
	 * @param fingerprint fingerprint of the request
	 * @param atNanos monotonic time of the response
	 * @return whether a suspicion ended
	 */
	public boolean recordCompleteResponse(long fingerprint, long atNanos) {
		this.completedAt.merge(fingerprint, atNanos, (one, two) -> (one - two >= 0) ? one : two);
		Map<String, List<ServerCrash>> hosts = this.reports.get(fingerprint);
		if (hosts == null) {
			return false;
		}
		hosts.values().forEach((crashes) -> crashes.removeIf((crash) -> crash.atNanos() - atNanos <= 0));
		hosts.values().removeIf(List::isEmpty);
		if (hosts.isEmpty()) {
			this.reports.remove(fingerprint);
		}
		this.attribution = null;
		return hosts.isEmpty();
	}

	/**
	 * Returns the number of crashes counted for a fingerprint: those it caused and those
	 * during which its requests merely happened to be in progress.
	 * @param fingerprint the fingerprint
	 * @return number of crashes
	 */
	public int crashes(long fingerprint) {
		Map<String, List<ServerCrash>> known = this.reports.get(fingerprint);
		return (known != null) ? new CrashAttribution.Suspect(fingerprint, unexplained(known).values()).countCrashes()
				: 0;
	}

	/**
	 * Returns whether requests with a fingerprint may run.
	 * @param fingerprint the fingerprint
	 * @param nowNanos monotonic time in nanoseconds
	 * @return the verdict
	 */
	public CrashVerdict verdict(long fingerprint, long nowNanos) {
		return attribution().verdict(fingerprint, nowNanos);
	}

	/**
	 * Returns the verdicts on all fingerprints that may not run.
	 * @param nowNanos monotonic time in nanoseconds
	 * @return verdicts by fingerprint
	 */
	public Map<Long, CrashVerdict> verdicts(long nowNanos) {
		Map<Long, CrashVerdict> judged = new HashMap<>();
		attribution().culprits().forEach((fingerprint) -> judged.put(fingerprint, verdict(fingerprint, nowNanos)));
		return judged;
	}

	private CrashAttribution attribution() {
		if (this.attribution == null) {
			Map<Long, Map<String, List<ServerCrash>>> counting = new HashMap<>();
			this.reports.forEach((fingerprint, hosts) -> counting.put(fingerprint, unexplained(hosts)));
			this.attribution = CrashAttribution.of(counting);
		}
		return this.attribution;
	}

	private Map<String, List<ServerCrash>> unexplained(Map<String, List<ServerCrash>> hosts) {
		Map<String, List<ServerCrash>> counting = new HashMap<>();
		hosts.forEach((host, crashes) -> counting.put(host,
				crashes.stream().filter((crash) -> !this.explained.test(crash.server())).toList()));
		return counting;
	}

	/**
	 * Returns the crashes that this host observed itself.
	 * @return crashes by fingerprint
	 */
	public Map<Long, List<ServerCrash>> ownCrashes() {
		Map<Long, List<ServerCrash>> own = new HashMap<>();
		this.reports.forEach((fingerprint, hosts) -> {
			List<ServerCrash> crashes = hosts.get(this.self);
			if (crashes != null) {
				own.put(fingerprint, List.copyOf(crashes));
			}
		});
		return own;
	}

	/**
	 * Returns the number of hosts that reported crashes of a fingerprint.
	 * @param fingerprint the fingerprint
	 * @return number of hosts, this one included
	 */
	public int reporters(long fingerprint) {
		Map<String, List<ServerCrash>> known = this.reports.get(fingerprint);
		return (known != null) ? known.size() : 0;
	}

	/**
	 * Returns whether another host suspects a fingerprint.
	 * @param fingerprint the fingerprint
	 * @return whether a report of another host is known
	 */
	public boolean reportedByOthers(long fingerprint) {
		Map<String, List<ServerCrash>> known = this.reports.get(fingerprint);
		return known != null && known.keySet().stream().anyMatch((host) -> !host.equals(this.self));
	}

	/**
	 * Removes fingerprints that have caused no crash for a long time.
	 * @param nowNanos monotonic time in nanoseconds
	 */
	public void expire(long nowNanos) {
		Iterator<Map<String, List<ServerCrash>>> all = this.reports.values().iterator();
		while (all.hasNext()) {
			Map<String, List<ServerCrash>> hosts = all.next();
			if (hosts.values().removeIf((crashes) -> nowNanos - lastCrashNanos(crashes) > RETENTION_NANOS)) {
				this.attribution = null;
			}
			if (hosts.isEmpty()) {
				all.remove();
			}
		}
	}

	private static long lastCrashNanos(List<ServerCrash> crashes) {
		return crashes.get(crashes.size() - 1).atNanos();
	}

}
