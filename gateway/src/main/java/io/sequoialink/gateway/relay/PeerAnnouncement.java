package io.sequoialink.gateway.relay;

import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.feed.LoopTimer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Makes this host's address known through the store, once, unless the store holds it from
 * an earlier life. Confined to the event loop.
 */
public final class PeerAnnouncement {

	private static final Logger logger = LoggerFactory.getLogger(PeerAnnouncement.class);

	private static final long RETRY_MILLIS = 2000;

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
			write();
		}
	}

	private void write() {
		if (this.relay.known()) {
			return;
		}
		this.records.announce(this.relay.self(), (reply) -> reply.match((offset) -> {
			// the record is read back like those of other hosts
		}, (failure) -> {
			logger.info(GatewayEvents.ADDRESS_NOT_WRITTEN, failure.kind(), failure.detail());
			this.timer.later(this::write, RETRY_MILLIS);
		}));
	}

}
