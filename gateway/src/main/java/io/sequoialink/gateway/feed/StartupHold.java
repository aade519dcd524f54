package io.sequoialink.gateway.feed;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Decides whether a host that has just started may put the configuration into force that
 * it read. After the store has returned from an older copy, that may be one which all
 * others have replaced: keys that were withdrawn would be valid again. Confined to the
 * event loop.
 *
 * <p>
 * Invariant: a configuration is held back for {@link #MAX_HOLD_MILLIS} at most, since the
 * later version may be lost for good.
 */
public final class StartupHold {

	/** Time in which others answer, in milliseconds; some may have failed. */
	static final long ANSWER_MILLIS = 150;

	/**
	 * Longest time for which a configuration is held back, in milliseconds. The platform
	 * excuses a host for about as long after its start.
	 */
	static final long MAX_HOLD_MILLIS = 3000;

	/**
	 * Time in which the addresses of others are read, in milliseconds; beyond it the host
	 * does not wait for them.
	 */
	static final long MAX_QUESTION_DELAY_MILLIS = 300;

	private final LongSupplier clock;

	private long firstReadAt;

	private boolean everRead;

	private long askedAt;

	private int awaited = -1;

	private long latestVersion = Long.MIN_VALUE;

	private String latestHost = "";

	private Runnable listener = () -> {
	};

	/**
	 * Creates a hold for a host that has asked nobody.
	 * @param clock monotonic time in nanoseconds
	 */
	public StartupHold(LongSupplier clock) {
		this.clock = clock;
	}

	/**
	 * Sets the action that runs when a configuration may be released.
	 * @param action the action
	 */
	public void onAnswer(Runnable action) {
		this.listener = action;
	}

	/**
	 * Called when others were asked for the version that they have in force.
	 * @param hosts number of hosts that were asked, 0 if no other is known
	 */
	public void asked(int hosts) {
		this.awaited = hosts;
		this.askedAt = this.clock.getAsLong();
		this.listener.run();
	}

	/**
	 * Called for each answer.
	 * @param host name of the host
	 * @param version version in force there
	 */
	public void heard(String host, long version) {
		this.awaited = Math.max(0, this.awaited - 1);
		if (version > this.latestVersion) {
			this.latestVersion = version;
			this.latestHost = host;
		}
		this.listener.run();
	}

	/**
	 * Returns whether a configuration must not be put into force yet.
	 * @param version its version
	 * @return whether an answer is awaited or a later version is known
	 */
	public boolean holdsBack(long version) {
		long now = this.clock.getAsLong();
		if (!this.everRead) {
			this.everRead = true;
			this.firstReadAt = now;
		}
		long heldMillis = TimeUnit.NANOSECONDS.toMillis(now - this.firstReadAt);
		return awaitsAnswers(now, heldMillis) || (version < this.latestVersion && heldMillis < MAX_HOLD_MILLIS);
	}

	private boolean awaitsAnswers(long now, long heldMillis) {
		if (this.awaited < 0) {
			return heldMillis < MAX_QUESTION_DELAY_MILLIS;
		}
		return this.awaited > 0 && TimeUnit.NANOSECONDS.toMillis(now - this.askedAt) < ANSWER_MILLIS;
	}

	/**
	 * Describes the latest version that was heard of, for the log.
	 * @return the version and its host
	 */
	public String latest() {
		return this.latestHost.isEmpty() ? "answers are awaited"
				: "host " + this.latestHost + " has version " + this.latestVersion;
	}

}
