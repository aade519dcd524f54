package io.sequoialink.bench.cascade;

import java.util.ArrayList;
import java.util.List;

import io.sequoialink.bench.ExperimentResult.Point;
import io.sequoialink.bench.outcomes.DrawnRequest;
import io.sequoialink.bench.outcomes.OutcomeTable;
import org.HdrHistogram.Histogram;

/**
 * What a run is judged by: drawn outcomes, the cost of every attempt and times. Not
 * thread-safe.
 */
final class Books {

	private static final int POINTS = 100;

	private final OutcomeTable table;

	private final int[] answered;

	private final int[] good;

	private final double[] cost;

	private final Histogram firstToken = new Histogram(3);

	private final Histogram wholeAnswer = new Histogram(3);

	private final List<Point> costSeries = new ArrayList<>();

	private final int interval;

	private int late;

	private int attempts;

	private int explored;

	Books(OutcomeTable table, int expected) {
		this.table = table;
		this.answered = new int[table.classes().size()];
		this.good = new int[table.classes().size()];
		this.cost = new double[table.classes().size()];
		this.interval = Math.max(1, expected / POINTS);
	}

	void attempt(DrawnRequest request, int version, boolean exploration) {
		this.cost[request.classIndex()] += request.cost(version);
		this.attempts++;
		this.explored += exploration ? 1 : 0;
	}

	void answered(DrawnRequest request, boolean met, long firstTokenMillis, long millis) {
		this.answered[request.classIndex()]++;
		this.good[request.classIndex()] += met ? 1 : 0;
		this.late += (millis > request.row().deadline()) ? 1 : 0;
		(request.streamed() ? this.firstToken : this.wholeAnswer)
			.recordValue(request.streamed() ? firstTokenMillis : millis);
		if (requests() % this.interval == 0) {
			this.costSeries.add(new Point(requests(), costPerRequest()));
		}
	}

	int requests() {
		int sum = 0;
		for (int count : this.answered) {
			sum += count;
		}
		return sum;
	}

	double costPerRequest() {
		double sum = 0;
		for (double part : this.cost) {
			sum += part;
		}
		return sum / requests();
	}

	double met(int classIndex) {
		return (double) this.good[classIndex] / this.answered[classIndex];
	}

	double costOf(int classIndex) {
		return this.cost[classIndex] / this.answered[classIndex];
	}

	double margin(int classIndex) {
		return met(classIndex) - this.table.classes().get(classIndex).qualityTarget();
	}

	int worstClass() {
		int worst = 0;
		for (int i = 1; i < this.answered.length; i++) {
			worst = (margin(i) < margin(worst)) ? i : worst;
		}
		return worst;
	}

	double leastMargin() {
		return margin(worstClass());
	}

	double lateShare() {
		return (double) this.late / requests();
	}

	double exploredShare() {
		return (double) this.explored / this.attempts;
	}

	double attemptsPerRequest() {
		return (double) this.attempts / requests();
	}

	long firstTokenP95() {
		return this.firstToken.getValueAtPercentile(95);
	}

	long wholeAnswerP95() {
		return this.wholeAnswer.getValueAtPercentile(95);
	}

	List<Point> costSeries() {
		return this.costSeries;
	}

}
