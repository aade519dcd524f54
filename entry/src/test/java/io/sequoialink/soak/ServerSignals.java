package io.sequoialink.soak;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Signals that servers sent to hosts in responses (shutdown, back-off), and the check
 * whether a host ignores them. Guarded by the {@link PromiseChecker} that holds it.
 */
final class ServerSignals {

	private final LongSupplier clock;

	private final Map<String, SignalState> states = new HashMap<>();

	ServerSignals(LongSupplier clock) {
		this.clock = clock;
	}

	/**
	 * Records that a server announced its shutdown to a host; the first announcement
	 * counts.
	 * @param server name of the server
	 * @param host name of the host
	 */
	void recordShutdown(String server, String host) {
		SignalState state = state(server, host);
		state.shutdownSinceNanos = (state.shutdownSinceNanos != 0) ? state.shutdownSinceNanos : this.clock.getAsLong();
	}

	/**
	 * Records that a server asked a host to back off. A further signal during a back-off
	 * extends it.
	 * @param server name of the server
	 * @param host name of the host
	 * @param untilNanos monotonic time at which the back-off ends
	 */
	void recordBackoff(String server, String host, long untilNanos) {
		SignalState state = state(server, host);
		long now = this.clock.getAsLong();
		if (state.backoffUntilNanos == 0 || now - state.backoffUntilNanos >= 0) {
			state.backoffSinceNanos = now;
			state.probes = 0;
		}
		state.backoffUntilNanos = Math.max(state.backoffUntilNanos, untilNanos);
	}

	private SignalState state(String server, String host) {
		return this.states.computeIfAbsent(server + ' ' + host, (key) -> new SignalState());
	}

	/**
	 * Checks a request that reaches a server against the signals of that server.
	 * @param server name of the server
	 * @param host name of the host that forwarded the request
	 * @return the signal that the host ignored, empty if it ignored none
	 */
	Optional<IgnoredSignal> checkArrival(String server, String host) {
		SignalState state = this.states.get(server + ' ' + host);
		if (state == null) {
			return Optional.empty();
		}
		long now = this.clock.getAsLong();
		if (state.shutdownSinceNanos != 0
				&& now - state.shutdownSinceNanos > Bounds.millisToNanos(Bounds.SIGNAL_GRACE_MILLIS)) {
			return Optional.of(new IgnoredSignal("DRAIN", state.shutdownSinceNanos));
		}
		boolean inBackoff = state.backoffUntilNanos != 0 && now - state.backoffUntilNanos < 0
				&& now - state.backoffSinceNanos > Bounds.millisToNanos(Bounds.SIGNAL_GRACE_MILLIS);
		state.probes += inBackoff ? 1 : 0;
		return (inBackoff && state.probes > Bounds.MAX_BACKOFF_PROBES)
				? Optional.of(new IgnoredSignal("BUDGET", state.backoffSinceNanos)) : Optional.empty();
	}

	/**
	 * A signal that a host ignored. Immutable.
	 *
	 * @param rule code of the violated guarantee
	 * @param sinceNanos monotonic time of the signal
	 */
	record IgnoredSignal(String rule, long sinceNanos) {
	}

	/** Signals of one server to one host; times are monotonic, 0 for none. */
	private static final class SignalState {

		private long shutdownSinceNanos;

		private long backoffSinceNanos;

		private long backoffUntilNanos;

		private int probes;

	}

}
