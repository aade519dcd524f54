package io.sequoialink.gateway.http;

import java.net.ConnectException;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ConnectTimeoutException;
import io.sequoialink.decision.crash.CrashVerdict;
import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.crash.CrashWatch;
import io.sequoialink.gateway.place.ServerState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells whether requests of one content crash the servers that run them. Confined to the
 * event loop. The content is what a client would send again: key, method, host, target
 * and body; its hash is made only once it is needed.
 */
final class ContentSuspicion {

	private static final Logger logger = LoggerFactory.getLogger(ContentSuspicion.class);

	/** Sends of one client attempt that may end with a crash. */
	private static final int MAX_CRASHED_SENDS = 2;

	private final Gateway gateway;

	private final ClientRequest request;

	private final String caller;

	private int disconnects;

	private boolean hashed;

	private long content;

	ContentSuspicion(Gateway gateway, ClientRequest request, String caller) {
		this.gateway = gateway;
		this.request = request;
		this.caller = caller;
	}

	/**
	 * Returns whether the request must not reach another server, for now or for long.
	 * @return whether its content is taken to have crashed too many
	 */
	boolean blocked() {
		return verdict() != CrashVerdict.FREE;
	}

	private CrashVerdict verdict() {
		return crashes().any() ? crashes().verdict(content()) : CrashVerdict.FREE;
	}

	/**
	 * Tells when a client that is refused for it may come again.
	 * @return time in milliseconds
	 */
	long comeBackMillis() {
		return (verdict() == CrashVerdict.HELD) ? OwnAnswer.HELD_MILLIS : OwnAnswer.BLOCKED_MILLIS;
	}

	/**
	 * Tells why a request is blocked.
	 * @return the reason, for the log
	 */
	String reason() {
		return "requests of content " + Long.toHexString(content()) + " crashed " + crashes().crashes(content())
				+ " servers, " + verdict();
	}

	/**
	 * A server ended its connection without a whole answer: finds out whether it crashed.
	 * @param server the server
	 * @param sentNanos monotonic time at which the request was sent there
	 */
	void disconnected(ServerState server, long sentNanos) {
		this.disconnects++;
		long suspect = content();
		long lostNanos = this.gateway.clock().getAsLong();
		String incarnation = server.entry().id() + '@' + server.entry().bornMillis();
		this.gateway.pool().probe(server.entry(), (failure) -> {
			if (failure.filter(ContentSuspicion::refused).isPresent()) {
				crashes().crashed(suspect, incarnation, sentNanos, lostNanos);
				return;
			}
			logger.info(GatewayEvents.NOT_A_CRASH, Long.toHexString(suspect), incarnation,
					failure.map(Throwable::toString).orElse("it takes connections"));
		});
	}

	private static boolean refused(Throwable failure) {
		return failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
	}

	/**
	 * Returns whether the request has met crashes enough for one client attempt. What
	 * crashes servers takes fewer with it, and what was only lost beside it is not blamed
	 * for its next ones too.
	 * @return whether it lost two servers, of which at least the first has crashed
	 */
	boolean enough() {
		return this.disconnects >= MAX_CRASHED_SENDS && crashes().any() && crashes().crashes(content()) > 0;
	}

	/**
	 * A server has shown that the content does not crash it.
	 */
	void harmless() {
		if (crashes().any()) {
			crashes().answered(content());
		}
	}

	private CrashWatch crashes() {
		return this.gateway.crashes();
	}

	private long content() {
		if (!this.hashed) {
			this.hashed = true;
			this.content = hash();
		}
		return this.content;
	}

	private long hash() {
		HashStream64 hash = Hashing.wyhashFinal4().hashStream();
		hash.putString(this.caller);
		hash.putString(this.request.method().name());
		hash.putString(this.request.host());
		hash.putString(this.request.target());
		ByteBuf body = this.request.body();
		byte[] bytes = new byte[body.readableBytes()];
		body.getBytes(body.readerIndex(), bytes);
		return hash.putBytes(bytes).getAsLong();
	}

}
