package io.sequoialink.membership;

/**
 * Tells a silent peer from a host that can't hear: notices pauses of this host's own
 * process, and times in which no peer at all is heard. Not thread-safe.
 */
final class Listening {

	private static final int PAUSE_INTERVALS = 3;

	private static final int MIN_PEERS = 2;

	private final long intervalMillis;

	private final long silenceMillis;

	private final long isolationLimitMillis;

	private long lastTickMillis;

	private long lastHeardMillis;

	Listening(GossipSettings settings, long nowMillis) {
		this.intervalMillis = settings.probeInterval().toMillis();
		this.silenceMillis = settings.suspectAfter().toMillis();
		this.isolationLimitMillis = settings.isolationLimit().toMillis();
		this.lastTickMillis = nowMillis;
		this.lastHeardMillis = nowMillis;
	}

	void heard(long nowMillis) {
		this.lastHeardMillis = nowMillis;
	}

	/**
	 * Notes a tick.
	 * @param nowMillis the time
	 * @return for how many milliseconds this process was paused before it, or 0
	 */
	long tick(long nowMillis) {
		long late = nowMillis - this.lastTickMillis - this.intervalMillis;
		this.lastTickMillis = nowMillis;
		if (late < PAUSE_INTERVALS * this.intervalMillis) {
			return 0;
		}
		this.lastHeardMillis = nowMillis;
		return late;
	}

	long silentMillis(long nowMillis) {
		return nowMillis - this.lastHeardMillis;
	}

	/**
	 * Returns whether the silence is this host's own: nobody is heard, and not yet for so
	 * long that all others must be given up. With one peer only, it can't be told.
	 * @param peers the number of other members
	 * @param nowMillis the time
	 * @return whether nobody may be suspected now
	 */
	boolean isolated(int peers, long nowMillis) {
		long silent = silentMillis(nowMillis);
		return peers >= MIN_PEERS && silent >= this.silenceMillis && silent < this.isolationLimitMillis;
	}

}
