package io.sequoialink.gateway.crash;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

import io.sequoialink.decision.crash.CrashReports;
import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.feed.LoopTimer;
import io.sequoialink.gateway.feed.StoreFailure;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the count of crashes by content and shares it with the other hosts. Confined to
 * the event loop.
 *
 * <p>
 * A suspicion is published only if no whole answer has ended it by then, so a server's
 * own crash, after which its requests are answered elsewhere, costs no call to the store.
 */
public final class CrashWatch {

	private static final Logger logger = LoggerFactory.getLogger(CrashWatch.class);

	/**
	 * Time after a crash in which a repeat of the request may still be answered, in
	 * milliseconds; well within the time for which servers must be spared late.
	 */
	static final long PUBLISH_MILLIS = 700;

	/** Pause after a failed write, in milliseconds. */
	private static final long RETRY_MILLIS = 1000;

	/** Contents that are published at most, those with most crashes first. */
	private static final int MAX_PUBLISHED = 64;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final String host;

	private final CrashRecords records;

	private final LoopTimer timer;

	private final LongSupplier clock;

	private final CrashReports reports;

	private boolean due;

	/**
	 * Creates a watch that knows of no crash.
	 * @param host name of this host
	 * @param records writes what is published
	 * @param timer runs work later
	 * @param clock monotonic time in nanoseconds
	 */
	public CrashWatch(String host, CrashRecords records, LoopTimer timer, LongSupplier clock) {
		this.host = host;
		this.records = records;
		this.timer = timer;
		this.clock = clock;
		this.reports = new CrashReports(host);
	}

	/**
	 * Returns whether any content is suspect.
	 * @return whether contents need to be looked at
	 */
	public boolean any() {
		return this.reports.any();
	}

	/**
	 * Returns how many crashes a content is taken to have caused.
	 * @param content hash of the content
	 * @return number of crashes
	 */
	public int crashes(long content) {
		return this.reports.crashes(content);
	}

	/**
	 * Returns whether a content is not to be run again.
	 * @param content hash of the content
	 * @return whether it crashed too many servers
	 */
	public boolean blocked(long content) {
		return this.reports.blocked(content);
	}

	/**
	 * Takes the crash of a server that ran a request.
	 * @param content hash of the request's content
	 * @param server identifier of the server
	 * @param sentNanos monotonic time at which the request was sent there
	 * @param crashedNanos monotonic time of the crash
	 * @param alone whether this host lost no other request with it
	 */
	public void crashed(long content, String server, long sentNanos, long crashedNanos, boolean alone) {
		boolean before = blocked(content);
		if (!this.reports.crashed(content, sentNanos, crashedNanos, alone)) {
			return;
		}
		logger.info(GatewayEvents.CONTENT_SUSPECT, Long.toHexString(content), server, crashes(content));
		noteBlocked(content, before, this.host);
		publishLater(PUBLISH_MILLIS);
	}

	private void noteBlocked(long content, boolean before, String reporter) {
		if (!before && blocked(content)) {
			logger.warn(GatewayEvents.CONTENT_BLOCKED, Long.toHexString(content), crashes(content), reporter);
		}
	}

	/**
	 * Takes a whole answer, which ends the suspicion against its content.
	 * @param content hash of the request's content
	 */
	public void answered(long content) {
		this.reports.answered(content, this.clock.getAsLong());
	}

	/**
	 * Takes what a host published.
	 * @param published what it saw
	 */
	public void take(HostCrashes published) {
		long now = this.clock.getAsLong();
		for (ContentCrashes seen : published.contents()) {
			boolean before = blocked(seen.content());
			long at = now - Math.max(0, seen.ageMillis()) * NANOS_PER_MILLI;
			this.reports.reported(published.host(), seen.content(),
					new CrashReports.Report(seen.crashes(), seen.alone(), at));
			noteBlocked(seen.content(), before, published.host());
		}
	}

	/**
	 * Forgets contents that have long caused no crash. Called a few times a second.
	 */
	public void tick() {
		if (any()) {
			this.reports.expire(this.clock.getAsLong());
		}
	}

	private void publishLater(long millis) {
		if (!this.due) {
			this.due = true;
			this.timer.later(this::publish, millis);
		}
	}

	private void publish() {
		this.due = false;
		List<ContentCrashes> contents = contents();
		if (contents.isEmpty()) {
			return;
		}
		this.records.crashes(new HostCrashes(this.host, contents), (reply) -> reply.match((offset) -> {
		}, this::failed));
	}

	private List<ContentCrashes> contents() {
		long now = this.clock.getAsLong();
		List<ContentCrashes> contents = new ArrayList<>();
		for (Map.Entry<Long, CrashReports.Report> own : this.reports.own().entrySet()) {
			CrashReports.Report report = own.getValue();
			contents.add(new ContentCrashes(own.getKey(), report.crashes(), report.alone(),
					(now - report.atNanos()) / NANOS_PER_MILLI));
		}
		contents.sort(Comparator.comparingInt(ContentCrashes::crashes)
			.reversed()
			.thenComparingLong(ContentCrashes::ageMillis));
		return contents.subList(0, Math.min(MAX_PUBLISHED, contents.size()));
	}

	private void failed(StoreFailure failure) {
		logger.info(GatewayEvents.CRASHES_NOT_WRITTEN, failure.kind(), failure.detail());
		publishLater(RETRY_MILLIS);
	}

}
