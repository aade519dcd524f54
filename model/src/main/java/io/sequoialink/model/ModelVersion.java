package io.sequoialink.model;

import java.util.Objects;

/**
 * A version of a model. Immutable and thread-safe.
 *
 * @param id identifier of the version, the same as in the model engines
 * @param labels labels of the version, matched by selectors
 * @param cost price of 1,000 tokens in micro-euros, the same for prompt and output tokens
 * @param state whether it may receive requests
 */
public record ModelVersion(VersionId id, Labels labels, long cost, VersionState state) implements ConfigObject {

	/** Number of tokens that {@link #cost} is the price of. */
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
	 * Returns the cost of a request.
	 * @param tokens number of prompt and output tokens together
	 * @return the cost in micro-euros, rounded up
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
