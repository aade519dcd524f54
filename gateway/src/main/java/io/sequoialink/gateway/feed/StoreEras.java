package io.sequoialink.gateway.feed;

import java.util.OptionalLong;

import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.fleet.StorePosition;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks the era of the platform's store, which rises each time the store returns from an
 * older copy. Confined to the event loop.
 *
 * <p>
 * Invariant: the era changes only with a response to a call that was sent since the last
 * change, so a response that was still on its way then can't turn it back. A lower era in
 * a response to a later call is taken over: the store says so itself.
 */
public final class StoreEras {

	private static final Logger logger = LoggerFactory.getLogger(StoreEras.class);

	private long current = StorePosition.NO_ERA;

	private long changes;

	private boolean missingReported;

	private Runnable listener = () -> {
	};

	/**
	 * Sets the action that runs after each change, but not when the store names an era
	 * for the first time.
	 * @param action the action
	 */
	public void onChange(Runnable action) {
		this.listener = action;
	}

	/**
	 * Returns the present era.
	 * @return the era that the store named last, {@link StorePosition#NO_ERA} before it
	 * has named one
	 */
	public long current() {
		return this.current;
	}

	/**
	 * Returns how often the era has changed, to be remembered when a call is sent.
	 * @return number of changes
	 */
	public long changes() {
		return this.changes;
	}

	/**
	 * Evaluates the era of a response.
	 * @param era the era that the response names, if any; a response that names none
	 * counts as one of the present era
	 * @param changesAtSend value of {@link #changes()} when the call was sent
	 * @return whether the response is of the present era
	 */
	public boolean observe(OptionalLong era, long changesAtSend) {
		if (era.isEmpty()) {
			reportMissing();
			return changesAtSend == this.changes;
		}
		if (era.getAsLong() == this.current) {
			return true;
		}
		if (era.getAsLong() < this.current && changesAtSend != this.changes) {
			return false;
		}
		change(era.getAsLong());
		return true;
	}

	// The first era that the store names ends no other.
	private void change(long era) {
		boolean first = this.current == StorePosition.NO_ERA;
		long before = this.current;
		this.current = era;
		this.changes++;
		if (!first) {
			logger.warn(GatewayEvents.STORE_ERA_CHANGED, era, before);
			this.listener.run();
		}
	}

	private void reportMissing() {
		if (this.current != StorePosition.NO_ERA && !this.missingReported) {
			this.missingReported = true;
			logger.warn(GatewayEvents.STORE_ERA_MISSING, this.current);
		}
	}

}
