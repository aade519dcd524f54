package io.sequoialink.daemon.host;

import java.util.function.Consumer;

import io.sequoialink.decision.CrashGuard;
import io.sequoialink.decision.RolloutPolicy;
import io.sequoialink.membership.Peers;
import io.sequoialink.model.Brake;
import io.sequoialink.router.BrakeTable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Spreads this host's brakes and takes those of its peers. Thread-safe.
 */
final class BrakeExchange implements Consumer<Brake> {

	private static final Logger LOG = LoggerFactory.getLogger(BrakeExchange.class);

	private final Peers peers;

	private final BrakeTable table;

	private final CrashGuard crashGuard;

	private final RolloutPolicy rollouts;

	BrakeExchange(Peers peers, BrakeTable table, CrashGuard crashGuard, RolloutPolicy rollouts) {
		this.peers = peers;
		this.table = table;
		this.crashGuard = crashGuard;
		this.rollouts = rollouts;
	}

	@Override
	public void accept(Brake brake) {
		if (this.table.add(brake)) {
			LOG.warn(HostEvents.BRAKE_SET, brake.scope(), brake.target(), brake.reason());
		}
		this.crashGuard.accept(brake);
		this.peers.spread(brake);
	}

	void learn() {
		for (Brake brake : this.peers.brakes()) {
			if (this.table.add(brake)) {
				LOG.warn(HostEvents.BRAKE_LEARNT, brake.origin(), brake.scope(), brake.target(), brake.reason());
				this.crashGuard.accept(brake);
				this.rollouts.accept(brake);
			}
		}
	}

}
