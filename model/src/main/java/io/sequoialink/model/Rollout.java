package io.sequoialink.model;

import java.util.List;
import java.util.Objects;

/**
 * A roll-out of a candidate version beside the version in force. Immutable and
 * thread-safe; {@code stage} is always an index into {@code stages}.
 *
 * @param id the roll-out's name
 * @param labels labels for selectors
 * @param stable the version in force
 * @param candidate the version that is rolled out
 * @param accounts selects, over account labels, whose new work may reach the candidate
 * @param stages the stages in order; at least one
 * @param state the state
 * @param stage index of the stage under way
 */
public record Rollout(String id, Labels labels, VersionId stable, VersionId candidate, Selector accounts,
		List<RolloutStage> stages, RolloutState state, int stage) implements ConfigObject {

	public Rollout {
		Identifiers.check("roll-out", id);
		labels = Objects.requireNonNullElse(labels, Labels.none());
		Objects.requireNonNull(stable, "stable");
		Objects.requireNonNull(candidate, "candidate");
		accounts = Objects.requireNonNullElse(accounts, Selector.everything());
		stages = List.copyOf(stages);
		state = Objects.requireNonNullElse(state, RolloutState.RUNNING);
		if (stages.isEmpty() || stage < 0 || stage >= stages.size()) {
			throw new IllegalArgumentException(
					"roll-out " + id + " has " + stages.size() + " stages and is at index " + stage);
		}
		if (stable.equals(candidate)) {
			throw new IllegalArgumentException("roll-out " + id + " has " + stable + " on both sides");
		}
	}

	/**
	 * Returns the stage under way.
	 * @return the stage
	 */
	public RolloutStage currentStage() {
		return this.stages.get(this.stage);
	}

	/**
	 * Returns a copy in another state and stage.
	 * @param newState the state of the copy
	 * @param newStage the stage index of the copy
	 * @return the changed copy
	 */
	public Rollout at(RolloutState newState, int newStage) {
		return new Rollout(this.id, this.labels, this.stable, this.candidate, this.accounts, this.stages, newState,
				newStage);
	}

	@Override
	public ObjectKey key() {
		return new ObjectKey(ObjectKind.ROLLOUT, this.id);
	}

}
