package io.sequoialink.catalogue;

import java.util.Optional;

import io.sequoialink.model.ConfigObject;
import io.sequoialink.model.Labels;
import io.sequoialink.model.ModelVersion;
import io.sequoialink.model.ObjectKey;
import io.sequoialink.model.ObjectKind;
import io.sequoialink.model.VersionId;
import io.sequoialink.model.VersionState;

/**
 * Changes for tests.
 */
final class Changes {

	private Changes() {
	}

	static ModelVersion version(String id, long cost) {
		return new ModelVersion(new VersionId(id), Labels.none().with("tier", "small"), cost, VersionState.OFFERED);
	}

	static Change put(String changeId, ConfigObject object, long expected) {
		return new Change(changeId, object.key(), expected, Optional.of(object), "operator", "test");
	}

	static Change delete(String changeId, ObjectKind kind, String name, long expected) {
		return new Change(changeId, new ObjectKey(kind, name), expected, Optional.empty(), "operator", "test");
	}

}
