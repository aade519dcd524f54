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
 * Checks immediately before each dispatch whether a version may receive requests. Every
 * check reads the current configuration, so that the withdrawal of a version also stops
 * further attempts of requests in progress. Thread-safe.
 */
final class VersionEligibility {

	private final Catalogue catalogue;

	private final BrakeTable brakes;

	private final FreshnessPolicy freshness;

	VersionEligibility(Catalogue catalogue, BrakeTable brakes, FreshnessPolicy freshness) {
		this.catalogue = catalogue;
		this.brakes = brakes;
		this.freshness = freshness;
	}

	/**
	 * Checks whether a request may be dispatched to a version. Permissions are taken from
	 * the current state of the account.
	 * @param account the client account as it was when the request arrived
	 * @param version the version
	 * @return empty if the request may be dispatched, otherwise the rejection
	 */
	Optional<Refusal> check(ClientAccount account, VersionId version) {
		CatalogueView view = this.catalogue.view();
		Optional<Refusal> refusal = checkFreshness(isCandidate(view, version));
		if (refusal.isPresent()) {
			return refusal;
		}
		Optional<ModelVersion> known = view.version(version);
		boolean allowed = known.isPresent() && view.account(account.id())
			.map((current) -> current.allowedVersions().matches(known.get().labels()))
			.orElse(false);
		if (!allowed) {
			return Optional.of(Refusal.notRun(RefusalCode.FORBIDDEN,
					"version " + version + " is not allowed to account " + account.id()));
		}
		if (!isOffered(view, version)) {
			return Optional.of(Refusal.notRun(RefusalCode.NO_ALLOWED_VERSION, "version " + version + " is withdrawn"));
		}
		return Optional.empty();
	}

	/**
	 * Checks whether the configuration of this host is recent enough for a dispatch.
	 * @param candidate whether the version is the candidate of a roll-out
	 * @return empty if it is, otherwise the rejection
	 */
	Optional<Refusal> checkFreshness(boolean candidate) {
		if (this.freshness.allows(this.catalogue.age(), candidate)) {
			return Optional.empty();
		}
		return Optional.of(
				Refusal
					.notRun(RefusalCode.CONFIGURATION_STALE,
							"the configuration of this host was last confirmed " + this.catalogue.age().toMillis()
									+ " ms ago")
					.retryAfter(FreshnessPolicy.MAX_AGE));
	}

	/**
	 * Returns whether a version is available for requests.
	 * @param view the current configuration
	 * @param version the version
	 * @return whether it is offered, no stop order is in force against it and no roll-out
	 * of it was rolled back
	 */
	boolean isOffered(CatalogueView view, VersionId version) {
		boolean offered = view.version(version).map((known) -> known.state() == VersionState.OFFERED).orElse(false);
		return offered && !this.brakes.isStopped(view, version) && !isRolledBack(view, version);
	}

	/**
	 * Returns whether a version receives only those requests that its roll-out selects.
	 * @param view the current configuration
	 * @param version the version
	 * @return whether it is the candidate of a roll-out that has not completed
	 */
	static boolean isCandidate(CatalogueView view, VersionId version) {
		return view.rollouts().anyMatch((rollout) -> rollout.candidate().equals(version) && isNotCompleted(rollout));
	}

	private static boolean isNotCompleted(Rollout rollout) {
		return rollout.state() != RolloutState.COMPLETED;
	}

	private static boolean isRolledBack(CatalogueView view, VersionId version) {
		return view.rollouts()
			.anyMatch((rollout) -> rollout.candidate().equals(version) && rollout.state() == RolloutState.RETURNED);
	}

}
