package io.sequoialink.standin;

/**
 * Message templates of the numbered log events that this module writes (SL-27xx).
 * Stateless.
 */
final class StandinEvents {

	static final String SERVER_STARTED = "SL-2701 simulated server {} listens on port {}";

	static final String SERVER_STOPPED = "SL-2702 simulated server {} stopped listening on port {}";

	static final String ENGINE_CRASHED = "SL-2703 engine {} crashed on request {}";

	static final String ENGINE_RESTART_FAILED = "SL-2704 engine {} could not be restarted: {}";

	private StandinEvents() {
	}

}
