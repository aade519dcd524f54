package io.sequoialink.bench.slopes;

import java.util.List;

import io.sequoialink.bench.ExperimentResult.Point;

/**
 * A straight line by least squares. Immutable and thread-safe.
 *
 * @param intercept value at 0
 * @param slope growth a unit
 * @param slopeError standard error of the slope, 0 for fewer than three points
 */
record LinearFit(double intercept, double slope, double slopeError) {

	static LinearFit of(List<Point> points) {
		int count = points.size();
		double meanX = points.stream().mapToDouble(Point::x).average().orElse(0);
		double meanY = points.stream().mapToDouble(Point::y).average().orElse(0);
		double squares = points.stream().mapToDouble((point) -> Math.pow(point.x() - meanX, 2)).sum();
		double products = points.stream().mapToDouble((point) -> (point.x() - meanX) * (point.y() - meanY)).sum();
		double slope = (squares > 0) ? products / squares : 0;
		double intercept = meanY - slope * meanX;
		double residuals = points.stream()
			.mapToDouble((point) -> Math.pow(point.y() - intercept - slope * point.x(), 2))
			.sum();
		double error = (count > 2 && squares > 0) ? Math.sqrt(residuals / (count - 2) / squares) : 0;
		return new LinearFit(intercept, slope, error);
	}

	double at(double x) {
		return this.intercept + this.slope * x;
	}

}
