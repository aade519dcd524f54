package io.sequoialink.model;

import java.util.List;
import java.util.Objects;

/**
 * A roll-out, which moves requests in stages from the stable model version to a candidate
 * version. Immutable and thread-safe; {@code stage} is always a valid index into
 * {@code stages}.
 *
 * @param id name of the roll-out
 * @param labels labels of the roll-out, matched by selectors
 * @param stable the version that serves requests at present
 * @param candidate the version that is to replace it
 * @param accounts selects, by account labels, the client accounts whose new requests,
 * those that continue no session, may go to the candidate
 * @param stages the stages in order; at least one
 * @param state state of the roll-out
 * @param stage index of the current stage
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
					"roll-out " + id + " has " + stages.size() + " stages, but the current stage index is " + stage);
		}
		if (stable.equals(candidate)) {
			throw new IllegalArgumentException(
					"roll-out " + id + " has version " + stable + " as both stable and candidate");
		}
	}

	/**
	 * Returns the current stage.
	 * @return the stage at index {@code stage}
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
