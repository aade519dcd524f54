package io.sequoialink.gateway.place;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import io.sequoialink.decision.limits.ServerBackoff;
import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.fleet.ServerEntry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Notices that backend servers sent in responses: that they are shutting down, or a
 * period in which they want no requests (back-off). Confined to the event loop.
 *
 * <p>
 * Invariants: a notice applies to the incarnation (server process) that sent it and to
 * earlier incarnations, which an outdated record may still name. It is not revoked by a
 * later response, by a record of the store or by changed settings; it ends when this host
 * learns of a later incarnation. During a back-off, at most single requests (probes) are
 * sent to find out whether the server has recovered.
 */
public final class ServerNoticeTable {

	private static final Logger logger = LoggerFactory.getLogger(ServerNoticeTable.class);

	private static final int MAX_SERVERS = 4096;

	/** Longer back-offs are shortened to this, in milliseconds. */
	static final long MAX_BACKOFF_MILLIS = 3_600_000;

	/**
	 * Longest random time that is added to a back-off, in nanoseconds, so that hosts do
	 * not all return at once; a quarter of the back-off if that is less.
	 */
	private static final long MAX_JITTER_NANOS = 1_000_000_000L;

	private final Map<String, Notice> notices = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Notice> eldest) {
			return size() > MAX_SERVERS;
		}
	};

	private final LongSupplier clock;

	private final RandomGenerator random;

	private final LongPredicate mayProbe;

	private final ResponseNoticeListener listener;

	/**
	 * Creates a table without notices.
	 * @param clock monotonic time in nanoseconds
	 * @param random source of the random time added to a back-off
	 * @param mayProbe returns whether this host may probe a server during its back-off,
	 * given the hash of the server's incarnation; true on few hosts for each server
	 * @param listener receives the notices that servers sent to this host itself
	 */
	public ServerNoticeTable(LongSupplier clock, RandomGenerator random, LongPredicate mayProbe,
			ResponseNoticeListener listener) {
		this.clock = clock;
		this.random = random;
		this.mayProbe = mayProbe;
		this.listener = listener;
	}

	/**
	 * Records a notice from a response.
	 * @param server the incarnation that sent the response
	 * @param responseNotice the notice
	 */
	public void received(ServerEntry server, ResponseNotice responseNotice) {
		if (superseded(server)) {
			return;
		}
		if (responseNotice.shuttingDown()) {
			recordShutdown(server);
		}
		responseNotice.backoffMillis()
			.ifPresent((millis) -> recordBackoff(server, Math.min(millis, MAX_BACKOFF_MILLIS)));
	}

	private void recordShutdown(ServerEntry server) {
		Notice notice = findOrCreate(server);
		if (!notice.shuttingDown) {
			notice.shuttingDown = true;
			logger.info(GatewayEvents.SERVER_SHUTTING_DOWN, server.id(), server.service(), "its response");
			this.listener.noticeReceived(server, new ResponseNotice(true, OptionalLong.empty()));
		}
	}

	private void recordBackoff(ServerEntry server, long millis) {
		Notice notice = findOrCreate(server);
		long now = this.clock.getAsLong();
		long backoffNanos = TimeUnit.MILLISECONDS.toNanos(millis);
		long jitter = this.random.nextLong(1 + Math.min(MAX_JITTER_NANOS, backoffNanos / 4));
		boolean alreadyActive = notice.backoff != null && notice.backoff.remainingNanos(now) > 0;
		if (notice.backoff == null || notice.backoff.isOver(now)) {
			notice.backoff = new ServerBackoff(now, now + backoffNanos, jitter);
		}
		else {
			notice.backoff.extend(now, now + backoffNanos, jitter);
		}
		notice.backoffSetAt = now;
		if (!alreadyActive) {
			logger.info(GatewayEvents.SERVER_BACKOFF, server.id(), server.service(), millis, "its response");
			this.listener.noticeReceived(server, new ResponseNotice(false, OptionalLong.of(millis)));
		}
	}

	private Notice findOrCreate(ServerEntry server) {
		Notice known = this.notices.get(server.id());
		if (known == null || known.startMillis < server.startMillis()) {
			known = new Notice(server.startMillis());
			this.notices.put(server.id(), known);
		}
		return known;
	}

	// A late response of an earlier incarnation says nothing about the current one.
	private boolean superseded(ServerEntry server) {
		Notice known = this.notices.get(server.id());
		return known != null && known.startMillis > server.startMillis();
	}

	private Notice find(ServerEntry server) {
		Notice known = this.notices.get(server.id());
		return (known != null && server.startMillis() <= known.startMillis) ? known : Notice.NONE;
	}

	/**
	 * Returns whether a server announced that it is shutting down.
	 * @param server the server
	 * @return whether no further requests may be sent to it
	 */
	boolean shuttingDown(ServerEntry server) {
		return find(server).shuttingDown;
	}

	/**
	 * Returns whether a request may be sent to a server now.
	 * @param state the server
	 * @return whether it is not shutting down and has no back-off, or its back-off
	 * permits a probe
	 */
	boolean admits(ServerState state) {
		Notice notice = find(state.entry());
		if (notice.shuttingDown || notice.backoff == null) {
			return !notice.shuttingDown;
		}
		long now = this.clock.getAsLong();
		return notice.backoff.allowsRequest(now, state.inFlight())
				|| (notice.backoff.allowsProbe(now, state.inFlight()) && this.mayProbe.test(state.incarnation()));
	}

	/**
	 * Returns whether a request that was assigned to a server may still be sent to it.
	 * @param server the server
	 * @param chosenNanos monotonic time at which the server was chosen
	 * @return false if the server has announced its shutdown, or has asked for a back-off
	 * after it was chosen
	 */
	boolean stillPermits(ServerEntry server, long chosenNanos) {
		Notice notice = find(server);
		boolean backoffSince = notice.backoff != null && notice.backoffSetAt - chosenNanos > 0
				&& notice.backoff.remainingNanos(this.clock.getAsLong()) > 0;
		return !notice.shuttingDown && !backoffSince;
	}

	/**
	 * Called when a request is sent to a server, so that probes during a back-off are
	 * counted.
	 * @param server the server
	 */
	public void sent(ServerEntry server) {
		Notice notice = find(server);
		if (notice.backoff != null) {
			notice.backoff.recordSent(this.clock.getAsLong());
		}
	}

	/**
	 * Called when a server's response begins; it ends the probe of a back-off.
	 * @param server the server
	 */
	public void responseStarted(ServerEntry server) {
		Notice notice = find(server);
		if (notice.backoff != null) {
			notice.backoff.recordAnswerStarted(this.clock.getAsLong());
		}
	}

	/**
	 * Returns how long a server's back-off still lasts.
	 * @param server the server
	 * @return time in milliseconds, 0 without a back-off
	 */
	long backoffMillis(ServerEntry server) {
		Notice notice = find(server);
		return (notice.backoff != null)
				? TimeUnit.NANOSECONDS.toMillis(notice.backoff.remainingNanos(this.clock.getAsLong())) : 0;
	}

	/**
	 * Shutdown notice and back-off of one incarnation (run of a server's process).
	 */
	private static final class Notice {

		private static final Notice NONE = new Notice(Long.MAX_VALUE);

		private final long startMillis;

		private boolean shuttingDown;

		private ServerBackoff backoff;

		private long backoffSetAt;

		private Notice(long startMillis) {
			this.startMillis = startMillis;
		}

	}

}
