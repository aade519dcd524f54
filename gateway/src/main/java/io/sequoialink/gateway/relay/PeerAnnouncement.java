package io.sequoialink.gateway.relay;

import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.feed.LoopTimer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Makes this host's address known through the store: once, unless the store holds it from
 * an earlier life, and each hour again, so that addresses of hosts which are gone for
 * good can be dropped. Confined to the event loop.
 */
public final class PeerAnnouncement {

	private static final Logger logger = LoggerFactory.getLogger(PeerAnnouncement.class);

	private static final long RETRY_MILLIS = 2000;

	private static final long AGAIN_MILLIS = 3_600_000;

	private final ReadRelay relay;

	private final PeerRecords records;

	private final LoopTimer timer;

	private boolean begun;

	/**
	 * Creates an announcement that is not made yet.
	 * @param relay knows which addresses the store holds
	 * @param records writes the address
	 * @param timer runs work later
	 */
	public PeerAnnouncement(ReadRelay relay, PeerRecords records, LoopTimer timer) {
		this.relay = relay;
		this.records = records;
		this.timer = timer;
	}

	/**
	 * Notes that all that hosts publish was read.
	 */
	public void statusesRead() {
		if (!this.begun) {
			this.begun = true;
			if (!this.relay.known()) {
				write();
			}
			this.timer.later(this::again, AGAIN_MILLIS);
		}
	}

	// One host drops what is too old for all.
	private void again() {
		write();
		for (String host : this.relay.expire()) {
			logger.info(GatewayEvents.PEER_FORGOTTEN, host);
			if (!this.relay.anotherReads()) {
				this.records.drop(host);
			}
		}
		this.timer.later(this::again, AGAIN_MILLIS);
	}

	private void write() {
		this.records.announce(this.relay.self(), (reply) -> reply.match((offset) -> {
			// the record is read back like those of other hosts
		}, (failure) -> {
			logger.info(GatewayEvents.ADDRESS_NOT_WRITTEN, failure.kind(), failure.detail());
			this.timer.later(this::write, RETRY_MILLIS);
		}));
	}

}
