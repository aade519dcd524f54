package io.sequoialink.soak;

/**
 * Statuses with which a host responded to probe requests after a configuration change; 0
 * for no response. Immutable.
 *
 * @param addedPathStatus status on the path that was added
 * @param removedPathStatus status on the path that was removed
 * @param extraKeyStatus status for the API key that was added or revoked
 */
record ProbeResult(int addedPathStatus, int removedPathStatus, int extraKeyStatus) {

	private static final int NOT_FOUND = 404;

	private static final int UNAUTHORIZED = 401;

	/**
	 * Returns whether a status shows that the host still uses an older configuration.
	 * @param change the newest change
	 * @return whether the host has not applied the change
	 */
	boolean contradicts(Operator.Change change) {
		boolean addedWrong = this.addedPathStatus == NOT_FOUND;
		boolean removedWrong = this.removedPathStatus != 0 && this.removedPathStatus != NOT_FOUND;
		boolean keyWrong = this.extraKeyStatus != 0 && (this.extraKeyStatus == UNAUTHORIZED) == change.extraKeyValid();
		return addedWrong || removedWrong || keyWrong;
	}

}
