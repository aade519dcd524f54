package io.sequoialink.standin;

/**
 * The numbered log events of this module. Stateless.
 */
final class StandinEvents {

	static final String UP = "SL-2701 {} is up on port {}";

	static final String DOWN = "SL-2702 {} is down on port {}";

	static final String CRASHED = "SL-2703 engine {} crashed on request {}";

	static final String RESTART_FAILED = "SL-2704 engine {} could not be restarted: {}";

	private StandinEvents() {
	}

}
