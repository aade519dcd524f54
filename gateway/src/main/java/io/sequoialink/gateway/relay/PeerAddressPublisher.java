package io.sequoialink.gateway.relay;

import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.feed.EventLoopTimer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Publishes this host's datagram address in the store: at the start, unless the store
 * contains it from an earlier process of this host, when the store has lost it, and again
 * every hour, so that addresses which are no longer written can be deleted. Confined to
 * the event loop.
 */
public final class PeerAddressPublisher {

	private static final Logger logger = LoggerFactory.getLogger(PeerAddressPublisher.class);

	private static final long RETRY_MILLIS = 2000;

	private static final long REPEAT_MILLIS = 3_600_000;

	private final ReadForwarder readForwarder;

	private final PeerAddressStore records;

	private final EventLoopTimer timer;

	private boolean started;

	private boolean written;

	/**
	 * Creates a publisher that has written nothing yet.
	 * @param readForwarder contains the addresses that were read from the store
	 * @param records writes and deletes addresses in the store
	 * @param timer runs a task on the event loop after a delay
	 */
	public PeerAddressPublisher(ReadForwarder readForwarder, PeerAddressStore records, EventLoopTimer timer) {
		this.readForwarder = readForwarder;
		this.records = records;
		this.timer = timer;
	}

	/**
	 * Called after each complete read of the records that hosts publish. The first call
	 * starts the publishing; later ones publish again if the store has lost the address.
	 */
	public void onStatusesRead() {
		if (!this.started) {
			this.started = true;
			this.timer.schedule(this::writeAgain, REPEAT_MILLIS);
		}
		boolean stored = this.readForwarder.isOwnAddressStored();
		if (!stored && !this.written) {
			this.written = true;
			writeAddress();
		}
		if (stored) {
			this.written = false;
		}
	}

	// Only a host that reads the store itself deletes expired addresses, so that not
	// all hosts do.
	private void writeAgain() {
		writeAddress();
		for (String host : this.readForwarder.removeExpired()) {
			logger.info(GatewayEvents.PEER_REMOVED, host);
			if (!this.readForwarder.anotherHostReads()) {
				this.records.deleteAddress(host);
			}
		}
		this.timer.schedule(this::writeAgain, REPEAT_MILLIS);
	}

	private void writeAddress() {
		this.records.writeAddress(this.readForwarder.self(), (reply) -> reply.match((offset) -> {
			// the written record is read from the store like those of other hosts
		}, (failure) -> {
			logger.info(GatewayEvents.ADDRESS_NOT_WRITTEN, failure.kind(), failure.detail());
			this.timer.schedule(this::writeAddress, RETRY_MILLIS);
		}));
	}

}
