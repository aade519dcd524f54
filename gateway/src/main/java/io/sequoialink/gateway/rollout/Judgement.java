package io.sequoialink.gateway.rollout;

/**
 * What the answers that all hosts saw say of a version. Immutable.
 *
 * @param answers answers of the version
 * @param worse whether they speak against it
 * @param probablyWorse whether they rather speak against it than not
 */
record Judgement(long answers, boolean worse, boolean probablyWorse) {

	static final Judgement NONE = new Judgement(0, false, false);

}
