package io.sequoialink.bench.fleet;

import java.util.Optional;

import io.sequoialink.catalogue.CatalogueFold;
import io.sequoialink.catalogue.Change;
import io.sequoialink.catalogue.FoldState;
import io.sequoialink.model.AccountId;
import io.sequoialink.model.ClientAccount;
import io.sequoialink.model.ConfigObject;
import io.sequoialink.model.Labels;
import io.sequoialink.model.ModelVersion;
import io.sequoialink.model.Selector;
import io.sequoialink.model.VersionId;
import io.sequoialink.model.VersionState;
import io.sequoialink.remote.LogRecord;

/**
 * Objects and changes of the experiments. Stateless and thread-safe.
 */
final class FleetObjects {

	private FleetObjects() {
	}

	static ModelVersion version(int index, long cost, VersionState state) {
		return new ModelVersion(new VersionId("version-" + index), Labels.none().with("tier", "t" + index % 3), cost,
				state);
	}

	static ClientAccount account(int index) {
		return new ClientAccount(new AccountId("account-" + index), Labels.none().with("size", "small"),
				"%064x".formatted(index), Selector.everything(), 0, null);
	}

	static Change put(String id, ConfigObject object, long expected) {
		return new Change(id, object.key(), expected, Optional.of(object), "bench", "");
	}

	static FoldState fold(Iterable<LogRecord> records) {
		FoldState state = FoldState.empty();
		for (LogRecord record : records) {
			state = CatalogueFold.step(state, record).state();
		}
		return state;
	}

}
