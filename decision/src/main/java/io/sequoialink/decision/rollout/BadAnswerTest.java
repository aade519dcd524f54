package io.sequoialink.decision.rollout;

/**
 * Tests whether a version gives more bad answers than its reference. The score may be
 * looked at after every answer: the chance that it ever reaches the threshold for a
 * version as good as its reference is at most the settings' alpha. Stateless and
 * thread-safe.
 */
public final class BadAnswerTest {

	/**
	 * Logarithm of the e-value that is enough once a verdict is due: as many to one as
	 * speak for "worse" then.
	 */
	private static final double PROBABLE = Math.log(10);

	private final SequentialTests tests;

	private final double threshold;

	/**
	 * Creates a test.
	 * @param settings parameters of roll-outs, of which the error rate and the failure
	 * share that is always accepted are used
	 */
	public BadAnswerTest(RolloutSettings settings) {
		this.tests = new SequentialTests(settings);
		this.threshold = Math.log(1 / settings.alpha());
	}

	/**
	 * Returns the logarithm of the e-value for "worse than the reference".
	 * @param tested answers of the version
	 * @param reference answers of the version that it would replace
	 * @return the score, 0 or less if nothing speaks against the version
	 */
	public double score(AnswerCounts tested, AnswerCounts reference) {
		return this.tests.failures(evidence(tested), evidence(reference));
	}

	/**
	 * Returns whether a version is to be stopped.
	 * @param tested answers of the version
	 * @param reference answers of the version that it would replace
	 * @return whether the score reaches the threshold
	 */
	public boolean worse(AnswerCounts tested, AnswerCounts reference) {
		return score(tested, reference) >= this.threshold;
	}

	/**
	 * Returns whether a version is more likely worse than not, for the time at which a
	 * verdict is due. To be looked at only then, since the threshold is low.
	 * @param tested answers of the version
	 * @param reference answers of the version that it would replace
	 * @return whether the e-value is at least 10
	 */
	public boolean probablyWorse(AnswerCounts tested, AnswerCounts reference) {
		return score(tested, reference) >= PROBABLE;
	}

	private static Evidence evidence(AnswerCounts counts) {
		long[] values = new long[Evidence.SIZE];
		values[Evidence.STARTED] = counts.answers();
		values[Evidence.FAILED] = counts.bad();
		values[Evidence.WHOLE] = counts.answers() - counts.bad();
		return Evidence.of(values);
	}

}
