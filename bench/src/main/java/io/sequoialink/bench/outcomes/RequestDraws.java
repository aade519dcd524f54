package io.sequoialink.bench.outcomes;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws the requests of a run: open-loop Poisson arrivals, in sessions where the class
 * has them. Stateless and thread-safe.
 */
public final class RequestDraws {

	/** Share of requests whose answers are streamed. */
	public static final double STREAMED_SHARE = 1.0 / 3;

	/** Requests that arrive each second. */
	public static final double REQUESTS_PER_SECOND = 10;

	/** Mean time that a caller thinks between turns of a session, in milliseconds. */
	public static final double THINK_MILLIS = 10_000;

	private RequestDraws() {
	}

	/**
	 * Draws requests.
	 * @param table the table of outcomes
	 * @param seed the seed of all draws
	 * @param count how many requests
	 * @return the requests in order of arrival
	 */
	public static List<DrawnRequest> draw(OutcomeTable table, long seed, int count) {
		return draw(table, seed, count, STREAMED_SHARE);
	}

	/**
	 * Draws requests with another share of streamed ones.
	 * @param table the table of outcomes
	 * @param seed the seed of all draws
	 * @param count how many requests
	 * @param streamedShare share of requests whose answers are streamed
	 * @return the requests in order of arrival
	 */
	public static List<DrawnRequest> draw(OutcomeTable table, long seed, int count, double streamedShare) {
		List<Slot> slots = slots(table, new SplittableRandom(seed), count);
		slots.sort(Comparator.comparingDouble(Slot::at).thenComparingInt(Slot::session));
		List<DrawnRequest> requests = new ArrayList<>(count);
		for (Slot slot : slots.subList(0, count)) {
			requests.add(new DrawnRequest(table, seed, requests.size(), Math.round(slot.at()), slot.classIndex(),
					slot.session(), slot.turn(), streamedShare));
		}
		return requests;
	}

	private static List<Slot> slots(OutcomeTable table, SplittableRandom random, int count) {
		double[] starts = startRates(table);
		double total = 0;
		for (double rate : starts) {
			total += rate;
		}
		List<Slot> slots = new ArrayList<>();
		double end = Double.MAX_VALUE;
		double at = 0;
		for (int session = 0; at < end; session++) {
			at += exponential(random, 1000 / (REQUESTS_PER_SECOND * total));
			addSession(table, random, slots, new Slot(at, pick(starts, random.nextDouble() * total), session, 0));
			if (slots.size() >= count && end == Double.MAX_VALUE) {
				end = slots.stream().mapToDouble(Slot::at).sorted().skip(count - 1).findFirst().orElse(at);
			}
		}
		return slots;
	}

	private static void addSession(OutcomeTable table, SplittableRandom random, List<Slot> slots, Slot first) {
		OutcomeTable.ClassRow row = table.classes().get(first.classIndex());
		if (!row.inSessions()) {
			slots.add(new Slot(first.at(), first.classIndex(), -1, 0));
			return;
		}
		OutcomeTable.Span span = row.sessionTurns();
		int turns = random.nextInt(span.min(), span.max() + 1);
		double at = first.at();
		for (int turn = 0; turn < turns; turn++) {
			slots.add(new Slot(at, first.classIndex(), first.session(), turn));
			at += row.deadline() + exponential(random, THINK_MILLIS);
		}
	}

	private static double[] startRates(OutcomeTable table) {
		return table.classes().stream().mapToDouble((row) -> row.share() / row.sessionTurns().mean()).toArray();
	}

	private static int pick(double[] weights, double draw) {
		double left = draw;
		for (int i = 0; i < weights.length - 1; i++) {
			left -= weights[i];
			if (left < 0) {
				return i;
			}
		}
		return weights.length - 1;
	}

	private static double exponential(SplittableRandom random, double mean) {
		return -mean * Math.log(1 - random.nextDouble());
	}

	private record Slot(double at, int classIndex, int session, int turn) {
	}

}
