package io.sequoialink.daemon.settings;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;

import io.sequoialink.model.Cascade;
import io.sequoialink.model.ClientAccount;
import io.sequoialink.model.ConfigObject;
import io.sequoialink.model.ModelVersion;
import io.sequoialink.model.PlainService;
import io.sequoialink.model.RequestClass;
import io.sequoialink.model.Rollout;
import io.sequoialink.model.Selector;
import io.sequoialink.model.VersionId;

/**
 * Checks what configuration objects say of one another. Confined to one thread.
 */
final class CatalogueReferences {

	private final Collection<ConfigObject> all;

	private final Problems problems;

	CatalogueReferences(Collection<ConfigObject> all, Problems problems) {
		this.all = all;
		this.problems = problems;
	}

	void check(ConfigObject object, String path) {
		if (object instanceof Rollout rollout) {
			version(rollout.stable(), Binder.join(path, "stable"));
			version(rollout.candidate(), Binder.join(path, "candidate"));
			selects(rollout.accounts(), ClientAccount.class, Binder.join(path, "accounts"));
		}
		else if (object instanceof ClientAccount account) {
			selects(account.allowedVersions(), ModelVersion.class, Binder.join(path, "allowedVersions"));
		}
		else if (object instanceof Cascade cascade) {
			selects(cascade.classes(), RequestClass.class, Binder.join(path, "classes"));
			for (int i = 0; i < cascade.tiers().size(); i++) {
				selects(cascade.tiers().get(i), ModelVersion.class, path + ".tiers[" + i + "]");
			}
		}
		else if (object instanceof PlainService service) {
			selects(service.accounts(), ClientAccount.class, Binder.join(path, "accounts"));
		}
	}

	private void version(VersionId id, String path) {
		Set<String> known = new TreeSet<>();
		this.all.stream().filter(ModelVersion.class::isInstance).forEach((object) -> known.add(object.key().name()));
		if (!known.contains(id.value())) {
			this.problems.dangling(path, id.value(), known);
		}
	}

	private void selects(Selector selector, Class<? extends ConfigObject> type, String path) {
		if (this.all.stream().filter(type::isInstance).noneMatch((object) -> selector.matches(object.labels()))) {
			this.problems.add(path, selector.text(), "selects nothing",
					"use a selector that at least one " + type.getSimpleName() + " matches");
		}
	}

}
