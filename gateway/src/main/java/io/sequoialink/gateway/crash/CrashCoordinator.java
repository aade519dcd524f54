package io.sequoialink.gateway.crash;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import io.sequoialink.decision.crash.CrashReports;
import io.sequoialink.decision.crash.CrashVerdict;
import io.sequoialink.decision.crash.ServerCrash;
import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.feed.EventLoopTimer;
import io.sequoialink.gateway.feed.StoreFailure;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts server crashes per request fingerprint (hash that is equal for repeated
 * submissions of the same request) and exchanges the counts with the other hosts through
 * the store. A fingerprint is suspected after a server has crashed while it ran a request
 * with it. Confined to the event loop.
 *
 * <p>
 * A suspicion is published only if no complete response has refuted it within a short
 * delay. When a server crashes for reasons of its own, its requests succeed on other
 * servers, so such a crash costs no call to the store. A response that refutes a
 * published suspicion is published as well, because hosts that never get such a request
 * would otherwise keep suspecting the fingerprint.
 */
public final class CrashCoordinator {

	private static final Logger logger = LoggerFactory.getLogger(CrashCoordinator.class);

	/**
	 * Time after a crash in which a retry of the request may still succeed before the
	 * suspicion is published, in milliseconds; well within the time in which all hosts
	 * must have stopped a request that crashes servers.
	 */
	static final long PUBLISH_DELAY_MILLIS = 700;

	/** Delay before a failed write is retried, in milliseconds. */
	private static final long RETRY_MILLIS = 1000;

	/**
	 * Time after a crash in which the reports of other hosts are polled frequently, in
	 * milliseconds.
	 */
	static final long FREQUENT_POLL_MILLIS = 5000;

	/**
	 * Time after a crash by which other hosts that observed the same crash have published
	 * their reports, in milliseconds.
	 */
	static final long PEER_REPORT_DELAY_MILLIS = 2 * PUBLISH_DELAY_MILLIS;

	/**
	 * Maximum number of fingerprints in this host's report; those with the most crashes
	 * are published.
	 */
	private static final int MAX_PUBLISHED = 64;

	/**
	 * Time for which a response that refuted a suspicion is published, in nanoseconds.
	 */
	private static final long CLEARED_RETENTION_NANOS = 60_000_000_000L;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final String host;

	private final CrashReportStore store;

	private final EventLoopTimer timer;

	private final LongSupplier clock;

	private final CrashReports reports;

	private final Set<Long> published = new HashSet<>();

	private final Map<Long, Long> cleared = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
			return size() > MAX_PUBLISHED;
		}
	};

	private final Runnable pollNow;

	private Map<Long, CrashVerdict> loggedVerdicts = Map.of();

	private boolean publishScheduled;

	private long frequentPollUntil;

	/**
	 * Creates a coordinator for a host that has neither observed a crash nor read a
	 * report of one.
	 * @param host name of this host
	 * @param store writes the report of this host
	 * @param timer schedules tasks
	 * @param clock monotonic time in nanoseconds
	 * @param pollNow polls the reports of other hosts at once
	 */
	public CrashCoordinator(String host, CrashReportStore store, EventLoopTimer timer, LongSupplier clock,
			Runnable pollNow) {
		this.host = host;
		this.store = store;
		this.timer = timer;
		this.clock = clock;
		this.pollNow = pollNow;
		this.reports = new CrashReports(host);
	}

	/**
	 * Leaves out crashes for which another reason is known.
	 * @param servers returns whether the crash of a server, given its incarnation, has
	 * another reason
	 */
	public void leaveOut(Predicate<String> servers) {
		this.reports.leaveOut(servers);
	}

	/**
	 * Called when the set of crashes that are left out has changed.
	 */
	public void explanationsChanged() {
		this.reports.explanationsChanged();
		logChangedVerdicts("a culprit among the prompt parts");
	}

	/**
	 * Returns whether any fingerprint is suspected of crashing servers, so that requests
	 * have to be checked.
	 * @return whether requests need to be checked
	 */
	public boolean anySuspects() {
		return this.reports.anySuspects();
	}

	/**
	 * Returns the number of crashes counted for a fingerprint.
	 * @param fingerprint the fingerprint
	 * @return number of crashes
	 */
	public int crashes(long fingerprint) {
		return this.reports.crashes(fingerprint);
	}

	/**
	 * Returns whether requests with a fingerprint may run.
	 * @param fingerprint the fingerprint
	 * @return whether they may run, do not run for now, or are blocked
	 */
	public CrashVerdict verdict(long fingerprint) {
		return this.reports.verdict(fingerprint, this.clock.getAsLong());
	}

	/**
	 * Records that a server crashed while it ran a request.
	 * @param fingerprint fingerprint of the request
	 * @param server incarnation of the server
	 * @param sentNanos monotonic time at which the request was sent to the server
	 * @param crashedNanos monotonic time of the crash
	 */
	public void serverCrashed(long fingerprint, String server, long sentNanos, long crashedNanos) {
		boolean counted = this.reports.recordCrash(fingerprint, server, sentNanos, crashedNanos);
		logger.info(GatewayEvents.REQUEST_SUSPECTED, Long.toHexString(fingerprint), server, crashes(fingerprint),
				counted ? "counted" : "not counted, may be the same event as the previous crash");
		logChangedVerdicts("a crash observed by this host");
		schedulePublish(PUBLISH_DELAY_MILLIS);
		startFrequentPolling();
	}

	// Makes this host poll the other hosts' reports at short intervals for a while,
	// instead of only waiting for a long poll to return: a long poll that began before an
	// outage may never return, and a host that saw a server crash is likely to receive
	// the crashing request next.
	private void startFrequentPolling() {
		if (!pollsFrequently()) {
			this.timer.schedule(this.pollNow, PEER_REPORT_DELAY_MILLIS);
		}
		this.frequentPollUntil = this.clock.getAsLong() + FREQUENT_POLL_MILLIS * NANOS_PER_MILLI;
	}

	/**
	 * Returns whether the reports of other hosts are to be polled frequently.
	 * @return whether this host has observed a crash within {@link #FREQUENT_POLL_MILLIS}
	 */
	public boolean pollsFrequently() {
		return this.frequentPollUntil != 0 && this.clock.getAsLong() - this.frequentPollUntil < 0;
	}

	private void logChangedVerdicts(String cause) {
		Map<Long, CrashVerdict> now = this.reports.verdicts(this.clock.getAsLong());
		Set<Long> fingerprints = new HashSet<>(this.loggedVerdicts.keySet());
		fingerprints.addAll(now.keySet());
		for (long fingerprint : fingerprints) {
			CrashVerdict verdict = now.getOrDefault(fingerprint, CrashVerdict.FREE);
			if (verdict != this.loggedVerdicts.getOrDefault(fingerprint, CrashVerdict.FREE)) {
				logger.warn(GatewayEvents.REQUEST_VERDICT_CHANGED, Long.toHexString(fingerprint), verdict,
						crashes(fingerprint), this.reports.reporters(fingerprint), cause);
			}
		}
		this.loggedVerdicts = now;
	}

	/**
	 * Records a complete response, which ends the suspicion of its fingerprint.
	 * @param fingerprint fingerprint of the request
	 */
	public void responseCompleted(long fingerprint) {
		boolean publishedAnywhere = this.published.contains(fingerprint) || this.reports.reportedByOthers(fingerprint);
		if (!this.reports.recordCompleteResponse(fingerprint, this.clock.getAsLong())) {
			return;
		}
		logChangedVerdicts("a complete response");
		if (publishedAnywhere) {
			this.cleared.put(fingerprint, this.clock.getAsLong());
			schedulePublish(PUBLISH_DELAY_MILLIS);
		}
	}

	/**
	 * Applies the crash report of a host.
	 * @param report the report
	 */
	public void reportRead(HostCrashReport report) {
		Map<Long, List<ServerCrash>> suspects = new HashMap<>();
		report.suspects().forEach((entry) -> suspects.put(entry.fingerprint(), crashes(entry)));
		this.reports.replaceReport(report.host(), suspects);
		report.cleared().forEach(this::receiveCleared);
		logChangedVerdicts("a report of host " + report.host());
	}

	// If another host got a complete response, this host's published suspicion must be
	// withdrawn too.
	private void receiveCleared(HostCrashReport.Cleared entry) {
		boolean ended = this.reports.recordCompleteResponse(entry.fingerprint(), timeOfAge(entry.ageMillis()));
		if (ended && this.published.contains(entry.fingerprint())) {
			schedulePublish(PUBLISH_DELAY_MILLIS);
		}
	}

	private List<ServerCrash> crashes(FingerprintCrashes entry) {
		return entry.crashes()
			.stream()
			.map((crash) -> new ServerCrash(crash.server(), timeOfAge(crash.sentAgeMillis()),
					timeOfAge(crash.ageMillis()), crash.counted()))
			.toList();
	}

	private long timeOfAge(long ageMillis) {
		return this.clock.getAsLong() - Math.max(0, ageMillis) * NANOS_PER_MILLI;
	}

	/**
	 * Removes fingerprints that have caused no crash for a long time. Called a few times
	 * per second.
	 */
	public void tick() {
		if (anySuspects()) {
			this.reports.expire(this.clock.getAsLong());
			logChangedVerdicts("a periodic check");
		}
	}

	private void schedulePublish(long millis) {
		if (!this.publishScheduled) {
			this.publishScheduled = true;
			this.timer.schedule(this::publish, millis);
		}
	}

	private void publish() {
		this.publishScheduled = false;
		List<FingerprintCrashes> suspects = crashesToPublish();
		List<HostCrashReport.Cleared> responses = clearedToPublish();
		boolean nothingPublished = this.published.isEmpty() && responses.isEmpty();
		if (suspects.isEmpty() && nothingPublished) {
			return;
		}
		this.published.clear();
		suspects.forEach((entry) -> this.published.add(entry.fingerprint()));
		this.store.write(new HostCrashReport(this.host, suspects, responses), (reply) -> reply.match((offset) -> {
		}, this::writeFailed));
	}

	private List<HostCrashReport.Cleared> clearedToPublish() {
		long now = this.clock.getAsLong();
		this.cleared.values().removeIf((at) -> now - at > CLEARED_RETENTION_NANOS);
		List<HostCrashReport.Cleared> responses = new ArrayList<>();
		this.cleared
			.forEach((fingerprint, at) -> responses.add(new HostCrashReport.Cleared(fingerprint, ageMillis(at))));
		return responses;
	}

	private long ageMillis(long atNanos) {
		return (this.clock.getAsLong() - atNanos) / NANOS_PER_MILLI;
	}

	private List<FingerprintCrashes> crashesToPublish() {
		List<FingerprintCrashes> suspects = new ArrayList<>();
		this.reports.ownCrashes()
			.forEach((fingerprint, crashes) -> suspects.add(new FingerprintCrashes(fingerprint, toPublished(crashes))));
		suspects.sort(Comparator.comparingInt((FingerprintCrashes entry) -> entry.crashes().size())
			.reversed()
			.thenComparingLong(CrashCoordinator::lastAgeMillis));
		return suspects.subList(0, Math.min(MAX_PUBLISHED, suspects.size()));
	}

	private List<FingerprintCrashes.Crash> toPublished(List<ServerCrash> crashes) {
		return crashes.stream()
			.map((crash) -> new FingerprintCrashes.Crash(crash.server(), crash.counted(), ageMillis(crash.sentNanos()),
					ageMillis(crash.atNanos())))
			.toList();
	}

	private static long lastAgeMillis(FingerprintCrashes entry) {
		return entry.crashes().get(entry.crashes().size() - 1).ageMillis();
	}

	private void writeFailed(StoreFailure failure) {
		logger.info(GatewayEvents.CRASHES_NOT_WRITTEN, failure.kind(), failure.detail());
		schedulePublish(RETRY_MILLIS);
	}

}
