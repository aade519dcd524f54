package io.sequoialink.soak;

/**
 * How a host answered after a change of the configuration: status codes, 0 for none.
 * Immutable.
 *
 * @param added answer on the path that was added
 * @param dropped answer on the path that was dropped
 * @param extraKey answer to the key that was given or taken away
 */
record Probe(int added, int dropped, int extraKey) {

	private static final int NO_ROUTE = 404;

	private static final int UNKNOWN_KEY = 401;

	/**
	 * Returns whether an answer shows an older configuration.
	 * @param change the newest change
	 * @return whether the change is not in force
	 */
	boolean contradicts(Operator.Change change) {
		boolean addedWrong = this.added == NO_ROUTE;
		boolean droppedWrong = this.dropped != 0 && this.dropped != NO_ROUTE;
		boolean keyWrong = this.extraKey != 0 && (this.extraKey == UNKNOWN_KEY) == change.extraKey();
		return addedWrong || droppedWrong || keyWrong;
	}

}
