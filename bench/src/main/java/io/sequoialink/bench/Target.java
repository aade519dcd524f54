package io.sequoialink.bench;

import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A bound on one figure. Immutable and thread-safe.
 *
 * @param field the figure's name
 * @param comparison how it is compared
 * @param bound the bound, or the difference that {@code other} may have
 * @param other another figure to compare with; the empty text for none
 */
public record Target(String field, Comparison comparison, double bound, String other) {

	public Target {
		Objects.requireNonNull(field, "field");
		Objects.requireNonNull(comparison, "comparison");
		Objects.requireNonNull(other, "other");
	}

	/**
	 * Returns the target that a figure is at most a bound.
	 * @param field the figure's name
	 * @param bound the bound
	 * @return the target
	 */
	public static Target atMost(String field, double bound) {
		return new Target(field, Comparison.AT_MOST, bound, "");
	}

	/**
	 * Returns the target that a figure is at least a bound.
	 * @param field the figure's name
	 * @param bound the bound
	 * @return the target
	 */
	public static Target atLeast(String field, double bound) {
		return new Target(field, Comparison.AT_LEAST, bound, "");
	}

	/**
	 * Returns the target that a figure is at least another figure of the same run.
	 * @param field the figure's name
	 * @param other the other figure's name
	 * @return the target
	 */
	public static Target atLeastField(String field, String other) {
		return new Target(field, Comparison.AT_LEAST, 0, other);
	}

	/**
	 * Returns whether a run meets the target. A missing figure does not meet it.
	 * @param figures the figures of the run
	 * @return whether it is met
	 */
	public boolean met(ObjectNode figures) {
		JsonNode value = figures.path(this.field);
		if (!value.isNumber() || (!this.other.isEmpty() && !figures.path(this.other).isNumber())) {
			return false;
		}
		double limit = this.bound + (this.other.isEmpty() ? 0 : figures.path(this.other).asDouble());
		return (this.comparison == Comparison.AT_MOST) ? value.asDouble() <= limit : value.asDouble() >= limit;
	}

	@Override
	public String toString() {
		String sign = (this.comparison == Comparison.AT_MOST) ? " <= " : " >= ";
		return this.field + sign + (this.other.isEmpty() ? String.valueOf(this.bound) : this.other);
	}

	/** How a figure is compared. */
	public enum Comparison {

		/** The figure is at most the bound. */
		AT_MOST,

		/** The figure is at least the bound. */
		AT_LEAST

	}

}
