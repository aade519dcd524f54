package io.sequoialink.bench;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The figures of one run, as counted by the stand-ins. Immutable by convention: the node
 * is not changed after construction.
 *
 * @param figures the JSON object of the last line
 * @param notes lines to print above it
 * @param series points for plots, by the name of the series
 */
public record ExperimentResult(ObjectNode figures, List<String> notes, Map<String, List<Point>> series) {

	public ExperimentResult {
		Objects.requireNonNull(figures, "figures");
		notes = List.copyOf(notes);
		series = Map.copyOf(series);
	}

	/**
	 * A point of a plot. Immutable and thread-safe.
	 *
	 * @param x horizontal value
	 * @param y vertical value
	 */
	public record Point(double x, double y) {
	}

}
