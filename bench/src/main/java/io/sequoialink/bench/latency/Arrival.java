package io.sequoialink.bench.latency;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import io.sequoialink.bench.outcomes.OutcomeTable;

/**
 * One request of an open-loop run. Immutable and thread-safe.
 *
 * @param atNanos when it is due, from the start of the run
 * @param row its class
 * @param prefix which shared prefix its prompt begins with
 * @param host which host the balancer gives it to
 */
record Arrival(long atNanos, OutcomeTable.ClassRow row, int prefix, int host) {

	private static final double NANOS = 1e9;

	/**
	 * Draws Poisson arrivals; shorter prefix numbers are more frequent.
	 * @param table classes and their shares
	 * @param seed the seed
	 * @param count how many
	 * @param perSecond arrivals a second
	 * @param prefixes number of shared prefixes
	 * @param hosts number of hosts
	 * @return the arrivals in order
	 */
	static List<Arrival> draw(OutcomeTable table, long seed, int count, double perSecond, int prefixes, int hosts) {
		SplittableRandom random = new SplittableRandom(seed);
		List<Arrival> arrivals = new ArrayList<>(count);
		double at = 0;
		for (int i = 0; i < count; i++) {
			at -= Math.log(1 - random.nextDouble()) / perSecond;
			int prefix = (int) (prefixes * random.nextDouble() * random.nextDouble());
			arrivals
				.add(new Arrival((long) (at * NANOS), pick(table, random.nextDouble()), prefix, random.nextInt(hosts)));
		}
		return arrivals;
	}

	private static OutcomeTable.ClassRow pick(OutcomeTable table, double draw) {
		double left = draw;
		for (OutcomeTable.ClassRow row : table.classes()) {
			left -= row.share();
			if (left < 0) {
				return row;
			}
		}
		return table.classes().get(table.classes().size() - 1);
	}

}
