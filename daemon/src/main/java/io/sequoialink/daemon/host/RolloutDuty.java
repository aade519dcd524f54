package io.sequoialink.daemon.host;

import java.util.Optional;
import java.util.function.Consumer;

import io.sequoialink.catalogue.Catalogue;
import io.sequoialink.catalogue.Change;
import io.sequoialink.catalogue.Verdict;
import io.sequoialink.decision.RolloutPolicy;
import io.sequoialink.model.Brake;
import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.HostId;
import io.sequoialink.model.Rollout;
import io.sequoialink.remote.LogUnavailableException;
import io.sequoialink.router.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Lets the roll-out policy judge and carries out what it concludes: brakes at once,
 * changes through the log. Every host may do so; the first change in log order wins, the
 * others are conflicts without effect. Confined to the duty that calls it.
 */
final class RolloutDuty {

	private static final Logger LOG = LoggerFactory.getLogger(RolloutDuty.class);

	private final HostId host;

	private final Catalogue catalogue;

	private final RolloutPolicy policy;

	private final Consumer<Brake> brakes;

	private final Clock clock;

	RolloutDuty(HostId host, Catalogue catalogue, RolloutPolicy policy, Consumer<Brake> brakes, Clock clock) {
		this.host = host;
		this.catalogue = catalogue;
		this.policy = policy;
		this.brakes = brakes;
		this.clock = clock;
	}

	void judge() {
		CatalogueView view = this.catalogue.view();
		for (RolloutPolicy.Action action : this.policy.evaluate(view, this.clock.monotonicMillis())) {
			action.brake().ifPresent(this.brakes);
			action.change().ifPresent((rollout) -> record(view, rollout, action.explanation()));
		}
	}

	private void record(CatalogueView view, Rollout rollout, String explanation) {
		long revision = view.entry(rollout.key()).map(CatalogueView.Entry::revision).orElse(-1L);
		String id = "rollout-" + Integer.toHexString(rollout.id().hashCode()) + "-" + revision + "-" + this.host;
		try {
			Verdict verdict = this.catalogue
				.apply(new Change(id, rollout.key(), revision, Optional.of(rollout), this.host.value(), explanation));
			LOG.info(HostEvents.ROLLOUT_CHANGED, rollout.id(), rollout.state(), rollout.stage(), explanation,
					verdict.kind());
		}
		catch (LogUnavailableException ex) {
			LOG.warn(HostEvents.ROLLOUT_NOT_RECORDED, rollout.id(), ex.getMessage());
		}
	}

}
