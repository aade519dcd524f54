package io.sequoialink.decision.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

import io.sequoialink.model.CatalogueView;
import io.sequoialink.model.Rollout;
import io.sequoialink.model.RolloutState;
import io.sequoialink.model.VersionId;

/**
 * Index of the roll-outs in one view of the configuration, with the names of the cells of
 * {@link ReplicatedCounters} that count their answers: one for each version, and one for
 * each stage and arm of a roll-out. Immutable after construction and thread-safe. If
 * several roll-outs share a version, a running or paused one takes precedence.
 */
final class RolloutIndex {

	/**
	 * Number of parts in the name of a roll-out's cell: "r", roll-out, epoch
	 * (configuration revision of the candidate's last stop order, -1 if there is none),
	 * stage, arm (candidate or stable).
	 */
	private static final int ROLLOUT_CELL_PARTS = 5;

	private static final Pattern EPOCH = Pattern.compile("-?[0-9]{1,18}");

	private final CatalogueView view;

	private final List<Entry> entries;

	private final Map<VersionId, Entry> byVersion = new HashMap<>();

	private final Set<String> cells = new HashSet<>();

	RolloutIndex(CatalogueView view, Map<VersionId, Long> brakes) {
		this.view = view;
		this.entries = view.entries()
			.stream()
			.filter((entry) -> entry.object() instanceof Rollout)
			.map((entry) -> new Entry((Rollout) entry.object(), entry.revision(), brakes))
			.toList();
		for (Entry entry : this.entries) {
			index(entry.rollout.stable(), entry);
			index(entry.rollout.candidate(), entry);
			for (int stage = 0; stage < entry.rollout.stages().size(); stage++) {
				this.cells.add(entry.candidateCell(stage));
				this.cells.add(entry.stableCell(stage));
			}
		}
		view.versions().forEach((version) -> this.cells.add(versionCell(version.id())));
	}

	private void index(VersionId version, Entry entry) {
		Entry present = this.byVersion.get(version);
		if (present == null || (entry.active() && !present.active())) {
			this.byVersion.put(version, entry);
		}
	}

	boolean isBuiltFrom(CatalogueView other) {
		return this.view == other;
	}

	CatalogueView view() {
		return this.view;
	}

	List<Entry> entries() {
		return this.entries;
	}

	Optional<Entry> find(VersionId version) {
		return Optional.ofNullable(this.byVersion.get(version));
	}

	Set<String> cells() {
		return this.cells;
	}

	// Returns the stop order that the name of a peer's cell implies, if it is newer than
	// the one known here: the epoch in the name is the configuration revision of the
	// candidate's last stop order.
	Optional<Map.Entry<VersionId, Long>> newerBrake(String cell) {
		String[] parts = cell.split("/");
		if (parts.length != ROLLOUT_CELL_PARTS || !EPOCH.matcher(parts[2]).matches()) {
			return Optional.empty();
		}
		long epoch = Long.parseLong(parts[2]);
		return this.entries.stream()
			.filter((entry) -> entry.rollout.id().equals(parts[1]) && epoch > entry.epoch)
			.findFirst()
			.map((entry) -> Map.entry(entry.rollout.candidate(), epoch));
	}

	static String versionCell(VersionId version) {
		return "v/" + version;
	}

	/**
	 * One roll-out with the newest stop order for its candidate that this host has
	 * received. Immutable and thread-safe.
	 */
	static final class Entry {

		private final Rollout rollout;

		private final boolean braked;

		private final long epoch;

		private final String prefix;

		private Entry(Rollout rollout, long revision, Map<VersionId, Long> brakes) {
			this.rollout = rollout;
			long brake = brakes.getOrDefault(rollout.candidate(), Long.MIN_VALUE);
			this.braked = brake >= revision;
			this.epoch = Math.max(-1, brake);
			this.prefix = "r/" + rollout.id() + "/" + this.epoch + "/";
		}

		Rollout rollout() {
			return this.rollout;
		}

		boolean braked() {
			return this.braked;
		}

		boolean running() {
			return this.rollout.state() == RolloutState.RUNNING && !this.braked;
		}

		boolean completed() {
			return this.rollout.state() == RolloutState.COMPLETED && !this.braked;
		}

		private boolean active() {
			return this.rollout.state() == RolloutState.RUNNING || this.rollout.state() == RolloutState.PAUSED;
		}

		String candidateCell(int stage) {
			return this.prefix + stage + "/candidate";
		}

		String stableCell(int stage) {
			return this.prefix + stage + "/stable";
		}

		String prefix() {
			return this.prefix;
		}

	}

}
