package io.sequoialink.router;

import java.util.Optional;

import io.sequoialink.catalogue.Catalogue;
import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.ClientAccount;
import io.sequoialink.model.ModelVersion;
import io.sequoialink.model.Refusal;
import io.sequoialink.model.RefusalCode;
import io.sequoialink.model.Rollout;
import io.sequoialink.model.RolloutState;
import io.sequoialink.model.VersionId;
import io.sequoialink.model.VersionState;

/**
 * Decides, directly before each dispatch, whether a version may receive new work. Asks
 * the newest view each time, so that a withdrawal stops attempts of requests that are
 * already under way. Thread-safe.
 */
final class VersionGate {

	private final Catalogue catalogue;

	private final BrakeTable brakes;

	private final FreshnessPolicy freshness;

	VersionGate(Catalogue catalogue, BrakeTable brakes, FreshnessPolicy freshness) {
		this.catalogue = catalogue;
		this.brakes = brakes;
		this.freshness = freshness;
	}

	/**
	 * Decides for one dispatch.
	 * @param account the client account, as resolved at arrival
	 * @param version the version
	 * @return empty if it may be dispatched
	 */
	Optional<Refusal> check(ClientAccount account, VersionId version) {
		CatalogueView view = this.catalogue.view();
		Optional<Refusal> stale = checkFreshness(isCandidate(view, version));
		if (stale.isPresent()) {
			return stale;
		}
		Optional<ModelVersion> known = view.version(version);
		boolean allowed = known.isPresent() && view.account(account.id())
			.map((current) -> current.allowedVersions().matches(known.get().labels()))
			.orElse(false);
		if (!allowed) {
			return Optional.of(Refusal.notRun(RefusalCode.FORBIDDEN,
					"version " + version + " is not allowed to account " + account.id()));
		}
		if (!offered(view, version)) {
			return Optional.of(Refusal.notRun(RefusalCode.NO_ALLOWED_VERSION, "version " + version + " is withdrawn"));
		}
		return Optional.empty();
	}

	Optional<Refusal> checkFreshness(boolean candidate) {
		if (this.freshness.admits(this.catalogue.age(), candidate)) {
			return Optional.empty();
		}
		return Optional.of(
				Refusal
					.notRun(RefusalCode.CONFIGURATION_STALE,
							"the configuration of this host was last confirmed " + this.catalogue.age().toMillis()
									+ " ms ago")
					.retryAfter(FreshnessPolicy.BOUND));
	}

	/**
	 * Returns whether a version may receive any new work.
	 * @param view the configuration
	 * @param version the version
	 * @return whether it is offered, not stopped by a brake and not a returned candidate
	 */
	boolean offered(CatalogueView view, VersionId version) {
		boolean offered = view.version(version).map((known) -> known.state() == VersionState.OFFERED).orElse(false);
		return offered && !this.brakes.stopped(view, version) && !returned(view, version);
	}

	/**
	 * Returns whether only its roll-out may place work on a version.
	 * @param view the configuration
	 * @param version the version
	 * @return whether it is the candidate of a roll-out that is not completed
	 */
	static boolean isCandidate(CatalogueView view, VersionId version) {
		return view.rollouts().anyMatch((rollout) -> rollout.candidate().equals(version) && notCompleted(rollout));
	}

	private static boolean notCompleted(Rollout rollout) {
		return rollout.state() != RolloutState.COMPLETED;
	}

	private static boolean returned(CatalogueView view, VersionId version) {
		return view.rollouts()
			.anyMatch((rollout) -> rollout.candidate().equals(version) && rollout.state() == RolloutState.RETURNED);
	}

}
