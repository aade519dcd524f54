package io.sequoialink.gateway.feed;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.fleet.Configuration;
import io.sequoialink.gateway.fleet.FleetView;
import io.sequoialink.gateway.fleet.PositionedValue;
import io.sequoialink.gateway.fleet.RolloutOrder;
import io.sequoialink.gateway.fleet.RolloutStatus;
import io.sequoialink.gateway.fleet.ServerEntry;
import io.sequoialink.gateway.fleet.StorePosition;
import io.sequoialink.gateway.place.EvacuatedZones;
import io.sequoialink.gateway.rollout.HostRolloutReport;
import io.sequoialink.gateway.rollout.RolloutCoordinator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies the records read from the platform's store to the fleet view. Confined to the
 * event loop.
 *
 * <p>
 * A server whose registration expired while the store could not be read may register
 * again soon after the store is back. Removals that are read in the first
 * {@link #REMOVAL_GRACE_NANOS} after an outage are therefore delayed until that time is
 * over.
 */
public final class FleetViewUpdater {

	private static final Logger logger = LoggerFactory.getLogger(FleetViewUpdater.class);

	/** Time after an outage in which a running server registers again, in nanoseconds. */
	static final long REMOVAL_GRACE_NANOS = 1_900_000_000L;

	private final FleetView view;

	private final EvacuatedZones evacuated;

	private final RolloutCoordinator rollouts;

	private final Runnable orderListener;

	private final Runnable completionListener;

	private final LongSupplier clock;

	private final Map<String, Long> pendingRemovals = new HashMap<>();

	private final DepartedServers departed;

	private boolean operatorRead;

	private boolean serversRead;

	private boolean orderRead;

	private boolean statusesRead;

	private Runnable statusListener = () -> {
	};

	private boolean completionReported;

	private long outageEndedAt;

	private long configurationSince;

	private ColdStartListener coldStarts = ColdStartListener.NONE;

	private Optional<StartupHold> hold = Optional.empty();

	private Runnable heldBack;

	private long heldBackVersion = Long.MIN_VALUE;

	/**
	 * Creates an updater.
	 * @param view the view to update
	 * @param evacuated receives the zones that the operator evacuates
	 * @param rollouts receives the roll-out orders, states and reports that are read
	 * @param orderListener run when a roll-out order is read, so that what other hosts
	 * publish is polled more often
	 * @param completionListener run once, when the view contains everything that the
	 * store holds
	 * @param clock monotonic time in nanoseconds
	 */
	public FleetViewUpdater(FleetView view, EvacuatedZones evacuated, RolloutCoordinator rollouts,
			Runnable orderListener, Runnable completionListener, LongSupplier clock) {
		this.view = view;
		this.evacuated = evacuated;
		this.rollouts = rollouts;
		this.orderListener = orderListener;
		this.completionListener = completionListener;
		this.clock = clock;
		this.departed = new DepartedServers(clock);
	}

	/**
	 * Applies a configuration unless this host already uses a newer one. The first one
	 * after a start may be held back for a moment.
	 * @param configuration the configuration
	 * @param position position of its record
	 * @param path the way by which it came to this host
	 */
	public void configuration(Configuration configuration, StorePosition position, ReadPath path) {
		boolean first = this.view.configuration().isEmpty();
		if (first && this.hold.filter((startup) -> startup.holdsBack(configuration.version())).isPresent()) {
			holdBack(configuration, position, path);
			return;
		}
		this.heldBack = null;
		apply(configuration, position, path);
	}

	private void holdBack(Configuration configuration, StorePosition position, ReadPath path) {
		boolean known = this.heldBackVersion == configuration.version();
		this.heldBack = () -> configuration(configuration, position, path);
		this.heldBackVersion = configuration.version();
		if (!known) {
			logger.info(GatewayEvents.CONFIGURATION_HELD_BACK, configuration.version(), position.offset(),
					position.era(), this.hold.map(StartupHold::latest).orElse(""));
		}
	}

	/**
	 * Sets what decides whether the first configuration after a start is held back.
	 * @param startup decides it
	 */
	public void holdBackWith(StartupHold startup) {
		this.hold = Optional.of(startup);
		startup.onAnswer(this::releaseHeldBack);
	}

	/**
	 * Sets what learns from registrations that servers are cold.
	 * @param listener the listener
	 */
	public void onColdStarts(ColdStartListener listener) {
		this.coldStarts = listener;
	}

	/**
	 * Puts a configuration that was held back into force if it need not be any more.
	 * Called regularly.
	 */
	public void releaseHeldBack() {
		Runnable release = this.heldBack;
		if (release != null) {
			release.run();
			reportIfComplete();
		}
	}

	private void apply(Configuration configuration, StorePosition position, ReadPath path) {
		String before = this.view.configuration().map((known) -> String.valueOf(known.version())).orElse("none");
		if (this.view.updateConfiguration(configuration)) {
			this.configurationSince = this.clock.getAsLong();
			this.coldStarts.configured();
			logger.info(GatewayEvents.CONFIGURATION_APPLIED, configuration.version(), position.offset(), position.era(),
					path, before);
		}
		else {
			logger.info(GatewayEvents.CONFIGURATION_IGNORED, configuration.version(), position.offset(), position.era(),
					path, before);
		}
	}

	/**
	 * Returns for how long the configuration has been in force on this host.
	 * @return time in nanoseconds, 0 if there is none
	 */
	public long configurationAgeNanos() {
		return this.view.configuration().isPresent() ? this.clock.getAsLong() - this.configurationSince : 0;
	}

	/**
	 * Passes an operator's roll-out order to the roll-out coordinator.
	 * @param order the order
	 * @param path the way by which it came to this host
	 */
	public void orderRead(PositionedValue<RolloutOrder> order, ReadPath path) {
		if (path == ReadPath.RETURNED_COPY) {
			this.rollouts.onOrderOfCopy(order);
		}
		else {
			this.rollouts.onOrder(order);
		}
		this.orderRead = true;
		this.orderListener.run();
	}

	/**
	 * Evacuates a zone: its servers get no further requests. A record of an older copy of
	 * the store does not undo the end of the evacuation that this host knows.
	 * @param zone name of the zone
	 * @param position position of the record
	 * @param path the way by which it came to this host
	 */
	public void zoneEvacuated(String zone, StorePosition position, ReadPath path) {
		if (path == ReadPath.RETURNED_COPY && this.evacuated.endedBeforeReturn(zone, position)) {
			logger.info(GatewayEvents.EVACUATION_NOT_REVIVED, zone, position.offset(), position.era());
			return;
		}
		if (this.evacuated.evacuate(zone, position)) {
			logger.info(GatewayEvents.ZONE_EVACUATED, zone, position.offset(), position.era(), path, serversIn(zone));
		}
	}

	/**
	 * Ends the evacuation of a zone whose record was deleted. An older copy of the store
	 * that lacks the record does not end it: the operator has to delete it again.
	 * @param zone name of the zone
	 * @param position position of the deletion, or of the deleted record if the deletion
	 * itself was not read
	 * @param path the way by which it came to this host
	 */
	public void evacuationEnded(String zone, StorePosition position, ReadPath path) {
		if (!this.evacuated.contains(zone)) {
			return;
		}
		if (path == ReadPath.RETURNED_COPY) {
			logger.warn(GatewayEvents.EVACUATION_KEPT, zone);
			return;
		}
		this.evacuated.end(zone);
		logger.info(GatewayEvents.EVACUATION_ENDED, zone, position.offset(), position.era(), path, serversIn(zone));
	}

	private long serversIn(String zone) {
		return this.view.servers().stream().filter((entry) -> entry.zone().equals(zone)).count();
	}

	/**
	 * Passes a roll-out state that a host published to the roll-out coordinator.
	 * @param status the state
	 */
	public void statusRead(PositionedValue<RolloutStatus> status) {
		this.rollouts.onStatus(status);
	}

	/**
	 * Passes the answer counts that a host published for a roll-out to the roll-out
	 * coordinator.
	 * @param evidence the counts
	 */
	public void reportRead(HostRolloutReport evidence) {
		this.rollouts.onReport(evidence);
	}

	/**
	 * Registers a callback that is run each time the records that hosts publish have been
	 * read to the end.
	 * @param callback the callback
	 */
	public void onStatusesRead(Runnable callback) {
		this.statusListener = callback;
	}

	/**
	 * Called when the records that hosts publish about roll-outs have been read to the
	 * end.
	 * @param end offset after the last record
	 */
	public void statusesRead(long end) {
		this.statusesRead = true;
		this.rollouts.onRead(end);
		this.statusListener.run();
		reportIfComplete();
	}

	/**
	 * Applies a server's registration as read from the store.
	 * @param entry the registration
	 * @param position position of its record
	 * @param path the way by which it came to this host
	 * @return whether it changes what this host knows
	 */
	public boolean registered(ServerEntry entry, StorePosition position, ReadPath path) {
		boolean ofCopy = path == ReadPath.RETURNED_COPY;
		boolean known = this.view.server(entry.id())
			.filter((before) -> before.startMillis() == entry.startMillis())
			.isPresent();
		boolean changed = ofCopy ? registeredInCopy(entry) : registered(entry);
		boolean current = !ofCopy || (changed && !known);
		if (current) {
			this.coldStarts.registered(entry, position);
		}
		return changed;
	}

	/**
	 * Applies a server's registration from an older copy of the store. It brings back no
	 * server that has left or drains: one that is alive registers again soon.
	 * @param entry the registration
	 * @return whether it changes what this host knows
	 */
	public boolean registeredInCopy(ServerEntry entry) {
		Optional<ServerEntry> known = this.view.server(entry.id());
		boolean drains = known
			.filter((before) -> before.draining() && !entry.draining() && before.startMillis() == entry.startMillis())
			.isPresent();
		if (drains || this.departed.contains(entry)) {
			logger.info(GatewayEvents.SERVER_NOT_REVIVED, entry.id(), entry.service(), drains ? "drains" : "has left");
			return false;
		}
		return registered(entry);
	}

	/**
	 * Applies a server's registration.
	 * @param entry the registration
	 * @return whether it differs from the registration that this host has, or cancels the
	 * pending removal of the server
	 */
	public boolean registered(ServerEntry entry) {
		boolean removalPending = this.pendingRemovals.remove(entry.id()) != null;
		this.departed.remove(entry.id());
		ServerEntry before = this.view.server(entry.id()).orElse(null);
		this.view.put(entry);
		if (before == null || before.draining() != entry.draining() || before.startMillis() != entry.startMillis()) {
			logger.info(GatewayEvents.SERVER_CHANGED, entry.id(), entry.service(),
					(entry.draining() ? "draining" : "ready") + ", version " + entry.version() + ", slots "
							+ entry.slots());
		}
		return removalPending || !entry.equals(before);
	}

	/**
	 * Called when a server's registration has been deleted; removes the server, or
	 * schedules its removal shortly after an outage.
	 * @param id identifier of the server
	 */
	public void deregistered(String id) {
		if (this.view.server(id).isEmpty()) {
			return;
		}
		long sinceOutage = this.clock.getAsLong() - this.outageEndedAt;
		if (this.outageEndedAt != 0 && sinceOutage < REMOVAL_GRACE_NANOS) {
			this.pendingRemovals.put(id, this.outageEndedAt + REMOVAL_GRACE_NANOS);
			return;
		}
		remove(id);
	}

	private void remove(String id) {
		this.view.server(id).ifPresent((entry) -> {
			this.departed.add(entry);
			logger.info(GatewayEvents.SERVER_CHANGED, id, entry.service(), "gone");
		});
		this.view.remove(id);
	}

	/**
	 * Removes the servers that have not registered again within the grace time after an
	 * outage.
	 */
	public void removeExpired() {
		long now = this.clock.getAsLong();
		Iterator<Map.Entry<String, Long>> all = this.pendingRemovals.entrySet().iterator();
		while (all.hasNext()) {
			Map.Entry<String, Long> entry = all.next();
			if (now - entry.getValue() >= 0) {
				all.remove();
				remove(entry.getKey());
			}
		}
	}

	/**
	 * Called when the store has returned from an older copy, before the records that
	 * hosts publish are read again.
	 * @param era the present era of the store
	 */
	public void statusesReturned(long era) {
		this.rollouts.storeReturned(era);
	}

	/**
	 * Called when the store can be read again after an outage, or has returned from an
	 * older copy.
	 */
	public void outageEnded() {
		this.outageEndedAt = this.clock.getAsLong();
	}

	/**
	 * Logs a record that could not be parsed and was skipped.
	 * @param record the record
	 * @param detail reason
	 */
	public void recordSkipped(KeyedRecord record, String detail) {
		logger.warn(GatewayEvents.RECORD_SKIPPED, record.key(), record.offset(), "the store", detail);
	}

	/**
	 * Called when all records written by operators have been read.
	 */
	public void operatorRecordsRead() {
		this.operatorRead = true;
		reportIfComplete();
	}

	/**
	 * Called when all registrations of servers have been read.
	 */
	public void registrationsRead() {
		this.serversRead = true;
		reportIfComplete();
	}

	private void reportIfComplete() {
		if (!this.completionReported && complete()) {
			this.completionReported = true;
			this.completionListener.run();
		}
	}

	/**
	 * Returns whether the view contains everything that the store holds.
	 * @return whether the configuration, the servers and the state of all roll-outs in
	 * progress have been read
	 */
	public boolean complete() {
		boolean rolloutsKnown = !this.orderRead || this.statusesRead;
		return this.operatorRead && this.serversRead && rolloutsKnown && this.view.configuration().isPresent();
	}

}
