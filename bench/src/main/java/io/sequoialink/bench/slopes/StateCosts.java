package io.sequoialink.bench.slopes;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

import io.sequoialink.catalogue.CatalogueFold;
import io.sequoialink.catalogue.Change;
import io.sequoialink.catalogue.ConfigRecords;
import io.sequoialink.catalogue.FoldState;
import io.sequoialink.decision.Attempt;
import io.sequoialink.decision.RequestFacts;
import io.sequoialink.decision.rollout.RolloutSettings;
import io.sequoialink.decision.rollout.SharedRolloutPolicy;
import io.sequoialink.model.AccountId;
import io.sequoialink.model.AccountLimits;
import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.ClassId;
import io.sequoialink.model.ClientAccount;
import io.sequoialink.model.Effect;
import io.sequoialink.model.HostId;
import io.sequoialink.model.Labels;
import io.sequoialink.model.ModelVersion;
import io.sequoialink.model.RequestId;
import io.sequoialink.model.Selector;
import io.sequoialink.model.ServerId;
import io.sequoialink.model.VersionId;
import io.sequoialink.model.VersionState;
import io.sequoialink.remote.LogRecord;

/**
 * The costs of the configuration's fold and of shared evidence, measured without sockets.
 * Stateless and thread-safe.
 */
final class StateCosts {

	/** Versions in use at the expected size. */
	static final int EXPECTED_VERSIONS = 19;

	/** Changes of configuration a day at the expected size. */
	static final int CHANGES_A_DAY = 1100;

	private static final int SECONDS_A_DAY = 86_400;

	private static final int TURNS_A_SECOND = 4;

	private static final int RECEIVERS_A_TURN = 3;

	private static final int EVIDENCE_TURNS = 80;

	private static final int ENVELOPE_BYTES = 130;

	private static final int ANSWERS = 40;

	private StateCosts() {
	}

	/**
	 * Folds a day of changes.
	 * @param versions versions in the configuration
	 * @param changes changes a day
	 * @param hosts hosts to put into the row
	 * @return what the fold costs a host; bytes are those that it reads
	 */
	static Duty fold(int versions, int changes, int hosts) {
		FoldState state = FoldState.empty();
		long bytes = 0;
		long started = ThreadTimes.ownNanos();
		for (int i = 0; i < changes; i++) {
			byte[] record = ConfigRecords.write(change(i, versions, state));
			bytes += record.length;
			state = CatalogueFold.step(state, new LogRecord(i, i, record)).state();
		}
		double share = (ThreadTimes.ownNanos() - started) / 1e9 / SECONDS_A_DAY;
		return new Duty("fold of " + changes + " changes a day, " + versions + " versions", hosts,
				(double) bytes / SECONDS_A_DAY, (double) changes / SECONDS_A_DAY, share, 1);
	}

	/**
	 * Merges the evidence of all hosts into one.
	 * @param hosts the number of hosts
	 * @param versions versions in use
	 * @return what the exchange costs a host that has heard of all others
	 */
	static Duty evidence(int hosts, int versions) {
		CatalogueView view = view(versions);
		List<SharedRolloutPolicy> policies = new ArrayList<>();
		for (int i = 0; i < hosts; i++) {
			SharedRolloutPolicy policy = new SharedRolloutPolicy(new HostId("host-" + i), 1_700_000_000_000L + i,
					() -> List.of(new HostId("host-0")), RolloutSettings.defaults());
			observe(policy, view, versions);
			policies.add(policy);
		}
		SharedRolloutPolicy first = policies.get(0);
		policies.forEach((policy) -> first.mergeStatistics(policy.exportStatistics()));
		long started = ThreadTimes.ownNanos();
		long bytes = 0;
		for (int turn = 0; turn < EVIDENCE_TURNS; turn++) {
			byte[] payload = first.exportStatistics();
			bytes += RECEIVERS_A_TURN * (payload.length + ENVELOPE_BYTES);
			for (int i = 0; i < RECEIVERS_A_TURN; i++) {
				first.mergeStatistics(payload);
			}
		}
		double seconds = EVIDENCE_TURNS / (double) TURNS_A_SECOND;
		double share = (ThreadTimes.ownNanos() - started) / 1e9 / seconds;
		return new Duty("evidence, " + versions + " versions", hosts, bytes / seconds,
				RECEIVERS_A_TURN * TURNS_A_SECOND, share, 1);
	}

	private static void observe(SharedRolloutPolicy policy, CatalogueView view, int versions) {
		policy.evaluate(view, 0);
		for (int i = 0; i < versions * ANSWERS; i++) {
			RequestFacts request = new RequestFacts(new RequestId("r" + i), new AccountId("account-1"),
					new ClassId("captions"), 0.9, 60_000, 200, 200, false, Optional.empty(), false, i, "f" + i, 0);
			VersionId version = new VersionId("version-" + i % versions);
			policy.selectVersion(view, account(), request, version, i);
			policy.recordOutcome(request,
					new Attempt(version, new ServerId("engine-1"), Effect.DONE, OptionalDouble.of(0.9), "whole", 800),
					i);
		}
	}

	private static CatalogueView view(int versions) {
		List<CatalogueView.Entry> entries = new ArrayList<>();
		for (int i = 0; i < versions; i++) {
			entries.add(new CatalogueView.Entry(version(i, i), i));
		}
		return CatalogueView.of(versions, entries);
	}

	private static Change change(int number, int versions, FoldState state) {
		ModelVersion version = version(number % versions, number);
		long revision = state.view().entry(version.key()).map(CatalogueView.Entry::revision).orElse(-1L);
		return new Change("change-" + number, version.key(), revision, Optional.of(version), "operator",
				"price list of the day");
	}

	private static ModelVersion version(int index, int cost) {
		return new ModelVersion(new VersionId("version-" + index), Labels.none(), cost, VersionState.OFFERED);
	}

	private static ClientAccount account() {
		return new ClientAccount(new AccountId("account-1"), Labels.none(), "0".repeat(64), Selector.everything(), 0,
				AccountLimits.UNLIMITED);
	}

}
