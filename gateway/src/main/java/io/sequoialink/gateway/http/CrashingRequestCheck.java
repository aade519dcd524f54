package io.sequoialink.gateway.http;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import io.netty.buffer.ByteBuf;
import io.sequoialink.decision.crash.CrashVerdict;
import io.sequoialink.decision.crash.Involvement;
import io.sequoialink.decision.crash.TraitVerdict;
import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.crash.CrashCoordinator;
import io.sequoialink.gateway.path.ServerConnector;
import io.sequoialink.gateway.place.ServerState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Checks whether a request crashes the backend servers that run it. Confined to the event
 * loop. Repeated submissions of the same request are recognised by a fingerprint: a hash
 * of account key, method, host, target and body, computed only when first needed.
 */
final class CrashingRequestCheck {

	private static final Logger logger = LoggerFactory.getLogger(CrashingRequestCheck.class);

	/**
	 * Number of crashed servers after which one client request is not retried any more.
	 */
	private static final int MAX_CRASHED_ATTEMPTS = 2;

	/**
	 * Time between two looks at the result of another request's trial, in milliseconds.
	 */
	static final long TRIAL_WAIT_MILLIS = 100;

	/** Number of such looks after which the request is rejected. */
	private static final int MAX_TRIAL_WAITS = 10;

	private final GatewayContext gateway;

	private final ClientRequest request;

	private final String accountKey;

	private final TraitCheck traits;

	private int disconnects;

	private int trialWaits;

	private boolean hashed;

	private long fingerprint;

	CrashingRequestCheck(GatewayContext gateway, ClientRequest request, RequestMetadata metadata, String service) {
		this.gateway = gateway;
		this.request = request;
		this.accountKey = metadata.key().orElse("none");
		this.traits = new TraitCheck(gateway, metadata, service, this::fingerprint);
	}

	/**
	 * Returns the check of the request's prompt parts.
	 * @return the check
	 */
	TraitCheck traits() {
		return this.traits;
	}

	/**
	 * Returns whether the request must not be sent to any server, temporarily or for a
	 * long time.
	 * @return whether its fingerprint or a part of its prompt is suspected of crashing
	 * servers
	 */
	boolean blocked() {
		return verdict() != CrashVerdict.FREE || this.traits.blocked();
	}

	private CrashVerdict verdict() {
		return crashes().anySuspects() ? crashes().verdict(fingerprint()) : CrashVerdict.FREE;
	}

	/**
	 * Returns whether a blocked request should look again after
	 * {@link #TRIAL_WAIT_MILLIS}, and counts the look: another request with the same
	 * suspected trait is on trial, whose result mostly comes soon.
	 * @param spareMillis time that the request may wait, in milliseconds
	 * @return whether to wait
	 */
	boolean awaitsTrial(long spareMillis) {
		boolean onTrial = this.traits.verdict().kind() == TraitVerdict.Kind.HELD;
		if (!onTrial || this.trialWaits >= MAX_TRIAL_WAITS || spareMillis < MAX_TRIAL_WAITS * TRIAL_WAIT_MILLIS) {
			return false;
		}
		this.trialWaits++;
		return true;
	}

	/**
	 * Returns when the client may retry a blocked request.
	 * @return delay in milliseconds
	 */
	long retryAfterMillis() {
		if (verdict() == CrashVerdict.FREE) {
			return this.traits.retryAfterMillis();
		}
		return (verdict() == CrashVerdict.HELD) ? LocalResponse.SUSPECT_RETRY_MILLIS
				: LocalResponse.BLOCKED_RETRY_MILLIS;
	}

	/**
	 * Returns the reason for which the request is blocked, with its fingerprint or the
	 * parts of its prompt, the number of server crashes and the verdict.
	 * @return text for the log
	 */
	String reason() {
		if (verdict() == CrashVerdict.FREE) {
			return this.traits.reason();
		}
		return "requests with fingerprint " + Long.toHexString(fingerprint()) + " crashed "
				+ crashes().crashes(fingerprint()) + " servers, verdict " + verdict();
	}

	/**
	 * Checks whether a server crashed, after it closed its connection before its response
	 * was complete. A server that refuses a new connection is taken to have crashed.
	 * @param server the server
	 * @param sentNanos monotonic time at which the request was sent to it, in nanoseconds
	 * @param progress how far the response had got
	 */
	void checkForCrash(ServerState server, long sentNanos, ResponseProgress progress) {
		this.disconnects++;
		boolean begun = progress == ResponseProgress.BEGUN;
		Involvement involvement = new Involvement(sentNanos, progress == ResponseProgress.HEAD);
		if (!begun) {
			this.traits.lost();
			this.traits.abandoned(server, involvement);
		}
		long suspected = fingerprint();
		long lostNanos = this.gateway.clock().getAsLong();
		String incarnation = server.entry().id() + '@' + server.entry().startMillis();
		this.gateway.pool().probe(server.entry(), (failure) -> {
			if (failure.filter(ServerConnector::refused).isPresent()) {
				crashes().serverCrashed(suspected, incarnation, sentNanos, lostNanos);
				if (!begun) {
					this.traits.serverCrashed(server, involvement, lostNanos);
				}
				return;
			}
			logger.info(GatewayEvents.NOT_A_CRASH, Long.toHexString(suspected), incarnation,
					failure.map(Throwable::toString).orElse("it accepts connections"));
		});
	}

	/**
	 * Returns whether the request must not be retried because servers closed their
	 * connections while they ran it. This limits how many servers a crashing request
	 * takes down, and keeps an innocent request, whose server was crashed by another
	 * request, from being blamed for further crashes.
	 * @return whether two servers closed their connections, and at least one server crash
	 * is counted for its fingerprint
	 */
	boolean crashLimitReached() {
		return this.disconnects >= MAX_CRASHED_ATTEMPTS && crashes().anySuspects()
				&& crashes().crashes(fingerprint()) > 0;
	}

	/**
	 * Records that a server has processed the request without crashing.
	 */
	void recordHarmless() {
		if (crashes().anySuspects()) {
			crashes().responseCompleted(fingerprint());
		}
	}

	private CrashCoordinator crashes() {
		return this.gateway.crashCoordinator();
	}

	private long fingerprint() {
		if (!this.hashed) {
			this.hashed = true;
			this.fingerprint = hash();
		}
		return this.fingerprint;
	}

	private long hash() {
		HashStream64 hash = Hashing.wyhashFinal4().hashStream();
		hash.putString(this.accountKey);
		hash.putString(this.request.method().name());
		hash.putString(this.request.host());
		hash.putString(this.request.target());
		ByteBuf body = this.request.body();
		byte[] bytes = new byte[body.readableBytes()];
		body.getBytes(body.readerIndex(), bytes);
		return hash.putBytes(bytes).getAsLong();
	}

}
