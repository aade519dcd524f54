package io.sequoialink.model;

import java.util.Objects;

/**
 * One version of a model. Immutable and thread-safe.
 *
 * @param id the version's identifier, as the engines know it
 * @param labels labels for selectors
 * @param cost micro-euros for 1,000 tokens, prompt and answer alike
 * @param state whether it may receive work
 */
public record ModelVersion(VersionId id, Labels labels, long cost, VersionState state) implements ConfigObject {

	/** The number of tokens that {@link #cost} pays for. */
	public static final int TOKENS_PER_COST_UNIT = 1000;

	public ModelVersion {
		Objects.requireNonNull(id, "id");
		labels = Objects.requireNonNullElse(labels, Labels.none());
		state = Objects.requireNonNullElse(state, VersionState.OFFERED);
		if (cost < 0) {
			throw new IllegalArgumentException("cost of version " + id + " is negative: " + cost);
		}
	}

	/**
	 * Returns the cost of one answer.
	 * @param tokens prompt and answer tokens together
	 * @return micro-euros, rounded up
	 */
	public long costOf(long tokens) {
		return -Math.floorDiv(-Math.multiplyExact(this.cost, tokens), TOKENS_PER_COST_UNIT);
	}

	/**
	 * Returns a copy in another state.
	 * @param newState the state of the copy
	 * @return the changed copy
	 */
	public ModelVersion withState(VersionState newState) {
		return new ModelVersion(this.id, this.labels, this.cost, newState);
	}

	@Override
	public ObjectKey key() {
		return new ObjectKey(ObjectKind.VERSION, this.id.value());
	}

}
