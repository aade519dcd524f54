package io.sequoialink.membership;

import io.sequoialink.model.Brake;

/**
 * Is told what {@link GossipCore} learns. Called on the thread that drives the core; must
 * not block.
 */
interface GossipListener {

	/**
	 * A member has changed.
	 * @param member the member as it is now
	 */
	default void memberChanged(Member member) {
	}

	/**
	 * A brake is known for the first time.
	 * @param brake the brake
	 */
	default void brakeLearnt(Brake brake) {
	}

	/**
	 * This process did not run for a while.
	 * @param millis the length of the pause
	 */
	default void paused(long millis) {
	}

	/**
	 * Tells at each tick whether this host hears anybody.
	 * @param isolated whether nobody is suspected because nobody is heard
	 * @param silentMillis time since the last accepted message
	 */
	default void isolated(boolean isolated, long silentMillis) {
	}

	/**
	 * Another process, started later, uses this host's identifier.
	 * @param other the other process
	 */
	default void replaced(Member other) {
	}

}
