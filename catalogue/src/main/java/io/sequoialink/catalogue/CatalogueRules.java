package io.sequoialink.catalogue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.sequoialink.model.AccountId;
import io.sequoialink.model.Cascade;
import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.ClientAccount;
import io.sequoialink.model.ModelVersion;
import io.sequoialink.model.Rollout;
import io.sequoialink.model.RolloutState;
import io.sequoialink.model.Selector;
import io.sequoialink.model.VersionId;

/**
 * Rules over the whole configuration that one object alone can't show. They never stand
 * in the way of withdrawing a version. Stateless and thread-safe.
 */
final class CatalogueRules {

	private CatalogueRules() {
	}

	/**
	 * Checks a configuration.
	 * @param view the configuration after a change
	 * @return the first violation as a sentence, or empty if there is none
	 */
	static Optional<String> violation(CatalogueView view) {
		return accountViolation(view).or(() -> rolloutViolation(view)).or(() -> cascadeViolation(view));
	}

	private static Optional<String> accountViolation(CatalogueView view) {
		Map<String, AccountId> digests = new HashMap<>();
		for (ClientAccount account : view.accounts().toList()) {
			AccountId other = digests.putIfAbsent(account.keyDigest(), account.id());
			if (other != null) {
				return Optional.of("accounts " + other + " and " + account.id() + " have the same key");
			}
		}
		return Optional.empty();
	}

	private static Optional<String> rolloutViolation(CatalogueView view) {
		Set<VersionId> candidates = new HashSet<>();
		for (Rollout rollout : view.rollouts().filter(CatalogueRules::active).toList()) {
			for (VersionId version : Set.of(rollout.stable(), rollout.candidate())) {
				if (view.version(version).isEmpty()) {
					return Optional.of("roll-out " + rollout.id() + " names version " + version + ", which is missing");
				}
			}
			if (!candidates.add(rollout.candidate())) {
				return Optional.of("version " + rollout.candidate() + " is the candidate of two active roll-outs");
			}
		}
		return Optional.empty();
	}

	private static boolean active(Rollout rollout) {
		return rollout.state() == RolloutState.RUNNING || rollout.state() == RolloutState.PAUSED;
	}

	private static Optional<String> cascadeViolation(CatalogueView view) {
		for (Cascade cascade : view.entries()
			.stream()
			.map(CatalogueView.Entry::object)
			.filter(Cascade.class::isInstance)
			.map(Cascade.class::cast)
			.toList()) {
			for (Selector tier : cascade.tiers()) {
				if (view.versions().map(ModelVersion::labels).noneMatch(tier::matches)) {
					return Optional.of("tier '" + tier + "' of cascade " + cascade.id() + " selects no version");
				}
			}
		}
		return Optional.empty();
	}

}
