package io.sequoialink.bench.outcomes;

import java.util.OptionalDouble;
import java.util.SplittableRandom;

/**
 * A request with all its outcomes, drawn by seed: asking for one does not change another.
 * Every version gives one answer to a request, so that repeating it on the same version
 * changes nothing. An answer has a true score, uniform in [0.5, 1] if it is good enough
 * and in [0, 0.5) if not; its rating is the score with normal noise, cut to [0, 1].
 * Immutable and thread-safe.
 */
public final class DrawnRequest {

	/** The score from which on an answer is good enough. */
	public static final double PASS_MARK = 0.5;

	private static final long STRIDE = 0x9E3779B97F4A7C15L;

	private final OutcomeTable table;

	private final long seed;

	private final int index;

	private final long arrivalMillis;

	private final int classIndex;

	private final int difficulty;

	private final int promptTokens;

	private final int answerTokens;

	private final boolean streamed;

	private final int session;

	private final int turn;

	DrawnRequest(OutcomeTable table, long seed, int index, long arrivalMillis, int classIndex, int session, int turn,
			double streamedShare) {
		this.table = table;
		this.seed = seed;
		this.index = index;
		this.arrivalMillis = arrivalMillis;
		this.classIndex = classIndex;
		this.session = session;
		this.turn = turn;
		SplittableRandom random = stream(-1);
		OutcomeTable.ClassRow row = row();
		this.difficulty = pickDifficulty(row, random.nextDouble());
		this.promptTokens = random.nextInt(row.promptTokens().min(), row.promptTokens().max() + 1);
		this.answerTokens = random.nextInt(row.answerTokens().min(), row.answerTokens().max() + 1);
		this.streamed = random.nextDouble() < streamedShare;
	}

	/**
	 * Returns the place of the request in order of arrival.
	 * @return an index from 0
	 */
	public int index() {
		return this.index;
	}

	/**
	 * Returns when it arrives.
	 * @return virtual milliseconds
	 */
	public long arrivalMillis() {
		return this.arrivalMillis;
	}

	/**
	 * Returns its class.
	 * @return the row of the class
	 */
	public OutcomeTable.ClassRow row() {
		return this.table.classes().get(this.classIndex);
	}

	/**
	 * Returns the index of its class.
	 * @return an index into the table's classes
	 */
	public int classIndex() {
		return this.classIndex;
	}

	/**
	 * Returns the tokens of its prompt.
	 * @return tokens
	 */
	public int promptTokens() {
		return this.promptTokens;
	}

	/**
	 * Returns the tokens of any version's answer; not known beforehand to a policy.
	 * @return tokens
	 */
	public int answerTokens() {
		return this.answerTokens;
	}

	/**
	 * Returns whether its answer is streamed.
	 * @return whether no answer can be taken back
	 */
	public boolean streamed() {
		return this.streamed;
	}

	/**
	 * Returns its session.
	 * @return a number, or -1 if it belongs to none
	 */
	public int session() {
		return this.session;
	}

	/**
	 * Returns its turn in the session.
	 * @return 0 for the first turn
	 */
	public int turn() {
		return this.turn;
	}

	/**
	 * Returns whether a version's answer is good enough.
	 * @param version index of the version
	 * @return the drawn outcome
	 */
	public boolean good(int version) {
		return good(version, 1);
	}

	/**
	 * Returns whether the answer of a version that has turned worse is good enough. An
	 * answer that is good at a lower factor is good at a higher one too.
	 * @param version index of the version
	 * @param chanceFactor factor on its chance
	 * @return the drawn outcome
	 */
	public boolean good(int version, double chanceFactor) {
		return stream(version).nextDouble() < chance(version) * chanceFactor;
	}

	/**
	 * Returns the rating of a version's answer.
	 * @param version index of the version
	 * @param chanceFactor factor on its chance
	 * @return the rating in [0, 1], or empty if the service gives none
	 */
	public OptionalDouble rating(int version, double chanceFactor) {
		SplittableRandom random = stream(version);
		boolean good = random.nextDouble() < chance(version) * chanceFactor;
		double score = PASS_MARK * random.nextDouble() + (good ? PASS_MARK : 0);
		double noise = gaussian(random) * this.table.rating().noiseSd();
		if (random.nextDouble() < this.table.rating().missingShare()) {
			return OptionalDouble.empty();
		}
		return OptionalDouble.of(Math.max(0, Math.min(1, score + noise)));
	}

	/**
	 * Returns how long after the answer its rating comes.
	 * @param version index of the version
	 * @return milliseconds, from half to one and a half of the mean
	 */
	public long ratingDelayMillis(int version) {
		return Math
			.round(this.table.rating().delay() * (0.5 + stream(version + this.table.versions().size()).nextDouble()));
	}

	/**
	 * Returns the cost of a version's answer.
	 * @param version index of the version
	 * @return micro-euros
	 */
	public double cost(int version) {
		return this.table.versions().get(version).cost() * (this.promptTokens + this.answerTokens) / 1000.0;
	}

	/**
	 * Returns what an oracle takes that knows every draw.
	 * @return the cheapest version whose answer is good enough, or the cheapest of all
	 */
	public int oracleChoice() {
		for (int version = 0; version < this.table.versions().size(); version++) {
			if (good(version)) {
				return version;
			}
		}
		return 0;
	}

	private double chance(int version) {
		return row().difficulties().get(this.difficulty).chance().get(this.table.versions().get(version).id());
	}

	private SplittableRandom stream(int purpose) {
		long mixed = (this.seed * 31 + this.index) * STRIDE + (purpose + 2) * 0xD1B54A32D192ED03L;
		return new SplittableRandom(mixed ^ (mixed >>> 29));
	}

	private static int pickDifficulty(OutcomeTable.ClassRow row, double draw) {
		double sum = 0;
		for (int i = 0; i < row.difficulties().size() - 1; i++) {
			sum += row.difficulties().get(i).share();
			if (draw < sum) {
				return i;
			}
		}
		return row.difficulties().size() - 1;
	}

	private static double gaussian(SplittableRandom random) {
		double radius = Math.sqrt(-2 * Math.log(1 - random.nextDouble()));
		return radius * Math.cos(2 * Math.PI * random.nextDouble());
	}

}
