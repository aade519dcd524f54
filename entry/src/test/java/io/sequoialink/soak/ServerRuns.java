package io.sequoialink.soak;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The servers' own record of what they ran and how they answered first. Each run has a
 * seal of its own, so that two runs of one request can be told apart, also at one server.
 * Guarded by the {@link PromiseChecker} that holds it.
 */
final class ServerRuns {

	private final Map<String, Run> bySeal = new HashMap<>();

	/**
	 * A server begins to run a request.
	 * @param id identifier of the request
	 * @param server name of the server
	 * @return the seal of the run
	 */
	String begin(String id, String server) {
		String seal = server + '.' + (this.bySeal.size() + 1);
		this.bySeal.put(seal, new Run(id, server));
		return seal;
	}

	/**
	 * A server answers; only the first answer of a run counts.
	 * @param seal seal of the run
	 * @param status status code of the answer
	 * @param body its body, empty if it is a stream of events
	 */
	void answered(String seal, int status, Optional<String> body) {
		Run run = this.bySeal.get(seal);
		if (run.status == 0) {
			run.status = status;
			run.body = body;
		}
	}

	/**
	 * A server answers with something that no client may get.
	 * @param seal seal of the run
	 */
	void broken(String seal) {
		this.bySeal.get(seal).broken = true;
	}

	/**
	 * Compares the head that a client received with the record.
	 * @param id identifier of the client's request
	 * @param status status code that the client received
	 * @param seal seal that the client received, empty if the host answered by itself
	 * @return what is wrong, empty if nothing is
	 */
	Optional<String> wrongHead(String id, int status, Optional<String> seal) {
		if (seal.isEmpty()) {
			return (status / 100 == 2) ? Optional.of("status " + status + " without a run") : Optional.empty();
		}
		Run run = this.bySeal.get(seal.get());
		String received = "status " + status + " with seal " + seal.get();
		if (run == null) {
			return Optional.of(received + ", which no run has");
		}
		if (!run.id.equals(id)) {
			return Optional.of(received + ", which is that of a run of " + run.id);
		}
		if (run.broken) {
			return Optional.of(received + ", whose run was answered with something broken");
		}
		return (run.status == status) ? Optional.empty()
				: Optional.of(received + ", whose run was answered with " + run.status);
	}

	/**
	 * Compares the whole body that a client received, other than a stream of events, with
	 * the record.
	 * @param seal seal that the client received, empty if the host answered by itself
	 * @param text the body
	 * @return what is wrong, empty if nothing is
	 */
	Optional<String> wrongBody(Optional<String> seal, String text) {
		return seal.map(this.bySeal::get)
			.filter((run) -> !run.body.equals(Optional.of(text)))
			.map((run) -> "got the body '" + text + "' with seal " + seal.get() + ", whose run was answered with '"
					+ run.body.orElse("events") + "'");
	}

	/**
	 * Returns whether the run succeeded at a server that answered another run of the same
	 * request with a failure. That is right, but who knows runs by id and server only
	 * can't tell it from a wrong answer.
	 * @param seal seal of a run
	 * @return whether it is such a success
	 */
	boolean succeededAfterFailure(String seal) {
		Run success = this.bySeal.get(seal);
		return success != null && success.status / 100 == 2
				&& this.bySeal.values().stream().anyMatch((run) -> run.failedInstead(success));
	}

	/** One run; the status is 0 until it is answered. */
	private static final class Run {

		private final String id;

		private final String server;

		private int status;

		private boolean broken;

		private Optional<String> body = Optional.empty();

		private Run(String id, String server) {
			this.id = id;
			this.server = server;
		}

		private boolean failedInstead(Run other) {
			return this.id.equals(other.id) && this.server.equals(other.server) && this.status >= 400;
		}

	}

}
