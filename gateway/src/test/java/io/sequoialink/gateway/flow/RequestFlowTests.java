package io.sequoialink.gateway.flow;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

/**
 * Explores every sequence of inputs up to a given length and checks the invariants after
 * each.
 */
class RequestFlowTests {

	private static final int DEPTH = 7;

	private enum Input {

		SENT, UNREACHED, NOT_RUN, NOT_RUN_LAST, BROKEN, BROKEN_LAST, FAILED, FAILED_LAST, DROPPED, ANSWERING, ANSWERED,
		NO_ROOM, TIMED_OUT, CLIENT_GONE

	}

	private int explored;

	@ParameterizedTest
	@CsvSource({ "true, 1", "true, 2", "true, 3", "false, 1", "false, 2", "false, 3" })
	void invariantsHoldAfterEverySequenceOfInputs(boolean repeatable, int maxAttempts) {
		explore(repeatable, maxAttempts, new ArrayList<>());
		assertThat(this.explored).isGreaterThan(100);
	}

	private void explore(boolean repeatable, int maxAttempts, List<Input> path) {
		Replay replay = new Replay(repeatable, maxAttempts, path);
		if (!replay.possible) {
			return;
		}
		this.explored++;
		replay.check();
		if (path.size() == DEPTH || replay.flow.done()) {
			return;
		}
		for (Input next : Input.values()) {
			path.add(next);
			explore(repeatable, maxAttempts, path);
			path.remove(path.size() - 1);
		}
	}

	@Test
	void requestOfWhichNothingWasSentIsRejectedWhenItsTimeIsOver() {
		RequestFlow flow = new RequestFlow(false, 2);
		flow.attemptStarted();
		flow.attemptWithdrawn();
		assertThat(flow.timedOut()).isEqualTo(NextStep.REJECT);
		assertThat(flow.executed()).isEqualTo(Executed.NO);
	}

	@Test
	void aRequestThatMayHaveBeenExecutedIsNotSentAgain() {
		RequestFlow flow = new RequestFlow(false, 3);
		flow.attemptStarted();
		assertThat(flow.brokeOff(true)).isEqualTo(NextStep.REPORT_UNKNOWN);
		assertThatIllegalStateException().isThrownBy(flow::attemptStarted);
	}

	@Test
	void inputsAfterTheEndAreIgnored() {
		RequestFlow flow = new RequestFlow(true, 2);
		assertThat(flow.noServerAvailable()).isEqualTo(NextStep.REJECT);
		assertThat(flow.timedOut()).isEqualTo(NextStep.NOTHING);
		assertThat(flow.clientDisconnected()).isEqualTo(NextStep.NOTHING);
		assertThat(flow.brokeOff(true)).isEqualTo(NextStep.NOTHING);
	}

	@Test
	void anAttemptInProgressWhenTheClientDisconnectsMayHaveBeenExecuted() {
		RequestFlow sent = new RequestFlow(false, 2);
		sent.attemptStarted();
		assertThat(sent.clientDisconnected()).isEqualTo(NextStep.CANCEL);
		assertThat(sent.executed()).isEqualTo(Executed.UNKNOWN);
		RequestFlow waiting = new RequestFlow(false, 2);
		assertThat(waiting.clientDisconnected()).isEqualTo(NextStep.CANCEL);
		assertThat(waiting.executed()).isEqualTo(Executed.NO);
	}

	@Test
	void aKnownFailureIsForwardedRatherThanAnUnknownOutcome() {
		RequestFlow flow = new RequestFlow(true, 2);
		flow.attemptStarted();
		assertThat(flow.failed(true)).isEqualTo(NextStep.SEND);
		flow.attemptStarted();
		assertThat(flow.brokeOff(false)).isEqualTo(NextStep.FORWARD_FAILURE);
	}

	// Streams whose responses had been discarded for two models were cut when the server
	// of the third broke off, as no attempt was left.
	@ParameterizedTest
	@CsvSource({ "1, 1, false", "2, 1, true", "3, 1, true", "3, 2, false", "4, 2, true" })
	void oneAttemptIsReservedForAServerThatBreaksOff(int maxAttempts, int attempts, boolean mayDiscard) {
		RequestFlow flow = new RequestFlow(true, maxAttempts);
		for (int i = 0; i < attempts; i++) {
			flow.attemptStarted();
			if (i < attempts - 1) {
				assertThat(flow.discarded()).isEqualTo(NextStep.SEND);
			}
		}
		assertThat(flow.mayDiscardResponse()).isEqualTo(mayDiscard);
	}

	// A request was rejected within 2 ms after three servers had refused the connection,
	// though others could have run it.
	@ParameterizedTest
	@CsvSource({ "true, 1", "true, 3", "false, 2" })
	void attemptsThatReachNoServerDoNotCountUpToALimit(boolean repeatable, int maxAttempts) {
		RequestFlow flow = new RequestFlow(repeatable, maxAttempts);
		int replacements = 0;
		flow.attemptStarted();
		while (flow.mayReplaceAttempt(RequestFlow.CONNECT_RETRY_MILLIS)) {
			replacements++;
			assertThat(flow.connectFailed()).isEqualTo(NextStep.SEND);
			flow.attemptStarted();
		}
		assertThat(replacements).isEqualTo(RequestFlow.MAX_CONNECT_FAILURES);
		assertThat(flow.executed()).isEqualTo(Executed.NO);
		assertThat(flow.attemptsLeft()).isEqualTo(maxAttempts > 1);
		assertThat(flow.notExecuted(false)).isEqualTo(NextStep.REJECT);
	}

	@Test
	void aRequestThatCanBeRejectedTriesOtherServersOnlyForAShortTime() {
		RequestFlow flow = new RequestFlow(true, 3);
		flow.attemptStarted();
		assertThat(flow.mayReplaceAttempt(RequestFlow.CONNECT_RETRY_MILLIS + 1)).isFalse();
		flow.brokeOff(true);
		flow.attemptStarted();
		assertThat(flow.mayReplaceAttempt(RequestFlow.CONNECT_RETRY_MILLIS + 1)).isTrue();
	}

	@Test
	void aResponseIsNotDiscardedOnceTheClientHasReceivedAPart() {
		RequestFlow flow = new RequestFlow(true, 3);
		flow.attemptStarted();
		flow.forwardingStarted();
		assertThat(flow.discarded()).isEqualTo(NextStep.NOTHING);
	}

	// Guards against requests that nothing ends before their time limit: an attempt's end
	// was ignored, so that no other attempt and no final response followed.
	@ParameterizedTest
	@CsvSource({ "true, false", "true, true", "false, false", "false, true" })
	void theEndOfAnAttemptIsFollowedByAnotherOrByTheEndOfTheRequest(boolean repeatable, boolean partForwarded) {
		List<Function<RequestFlow, NextStep>> ends = List.of((flow) -> flow.notExecuted(true),
				(flow) -> flow.notExecuted(false), (flow) -> flow.brokeOff(true), (flow) -> flow.brokeOff(false),
				(flow) -> flow.failed(true), (flow) -> flow.failed(false), RequestFlow::connectFailed);
		for (Function<RequestFlow, NextStep> end : ends) {
			RequestFlow flow = new RequestFlow(repeatable, 3);
			flow.attemptStarted();
			if (partForwarded) {
				flow.forwardingStarted();
			}
			assertThat(end.apply(flow)).isNotEqualTo(NextStep.NOTHING);
			assertThat(flow.waiting() || flow.done()).isTrue();
		}
	}

	// Guards against a response that is dropped although the request must not be sent
	// again: the question and the decision disagreed.
	@ParameterizedTest
	@CsvSource({ "true, 1", "true, 2", "true, 3", "false, 1", "false, 2", "false, 3" })
	void aResponseThatMayBeDiscardedIsFollowedByAnotherAttempt(boolean repeatable, int maxAttempts) {
		RequestFlow flow = new RequestFlow(repeatable, maxAttempts);
		flow.attemptStarted();
		boolean mayDiscard = flow.mayDiscardResponse();
		assertThat(mayDiscard).isEqualTo(repeatable && maxAttempts > 1);
		assertThat(flow.discarded()).isEqualTo(mayDiscard ? NextStep.SEND : NextStep.NOTHING);
		assertThat(flow.waiting()).isEqualTo(mayDiscard);
	}

	/**
	 * Replays a sequence of inputs and counts what the client and the servers would see.
	 */
	private static final class Replay {

		private final boolean repeatable;

		private final int maxAttempts;

		private final RequestFlow flow;

		private final List<Input> path;

		private boolean possible = true;

		private boolean inFlight;

		private int possibleExecutions;

		private int attempts;

		private boolean partReceived;

		private int finalSteps;

		private NextStep last = NextStep.SEND;

		private Replay(boolean repeatable, int maxAttempts, List<Input> path) {
			this.repeatable = repeatable;
			this.maxAttempts = maxAttempts;
			this.flow = new RequestFlow(repeatable, maxAttempts);
			this.path = List.copyOf(path);
			for (Input input : this.path) {
				if (!apply(input)) {
					this.possible = false;
					return;
				}
			}
		}

		private boolean apply(Input input) {
			return switch (input) {
				case SENT -> send();
				case UNREACHED -> unreached();
				case NOT_RUN, NOT_RUN_LAST -> end(input == Input.NOT_RUN, false, Input.NOT_RUN);
				case BROKEN, BROKEN_LAST -> end(input == Input.BROKEN, true, Input.BROKEN);
				case FAILED, FAILED_LAST -> end(input == Input.FAILED, true, Input.FAILED);
				case DROPPED -> drop();
				case ANSWERING -> answering();
				case ANSWERED -> answered();
				case NO_ROOM -> !this.inFlight && this.last == NextStep.SEND && step(this.flow.noServerAvailable());
				case TIMED_OUT -> timedOut();
				case CLIENT_GONE -> step(this.flow.clientDisconnected());
			};
		}

		private boolean send() {
			if (this.inFlight || this.last != NextStep.SEND) {
				return false;
			}
			this.flow.attemptStarted();
			this.attempts++;
			this.inFlight = true;
			return true;
		}

		private boolean unreached() {
			if (!this.inFlight || this.partReceived || !this.flow.mayReplaceAttempt(0)) {
				return false;
			}
			this.inFlight = false;
			this.attempts--;
			return step(this.flow.connectFailed());
		}

		private boolean end(boolean retryAllowed, boolean ran, Input kind) {
			if (!this.inFlight || (kind != Input.BROKEN && this.partReceived)) {
				return false;
			}
			this.inFlight = false;
			this.possibleExecutions += ran ? 1 : 0;
			return step(ended(kind, retryAllowed));
		}

		private NextStep ended(Input kind, boolean retryAllowed) {
			return switch (kind) {
				case NOT_RUN -> this.flow.notExecuted(retryAllowed);
				case FAILED -> this.flow.failed(retryAllowed);
				default -> this.flow.brokeOff(retryAllowed);
			};
		}

		private boolean drop() {
			if (!this.inFlight) {
				return false;
			}
			NextStep next = this.flow.discarded();
			if (next == NextStep.SEND) {
				this.inFlight = false;
				this.possibleExecutions++;
				return step(next);
			}
			return true;
		}

		private boolean answering() {
			if (!this.inFlight) {
				return false;
			}
			this.flow.forwardingStarted();
			this.partReceived = true;
			return true;
		}

		private boolean answered() {
			if (!this.inFlight || !this.partReceived) {
				return false;
			}
			this.inFlight = false;
			this.possibleExecutions++;
			this.flow.forwardingCompleted();
			this.finalSteps++;
			this.last = NextStep.NOTHING;
			return true;
		}

		private boolean timedOut() {
			if (this.inFlight) {
				this.possibleExecutions++;
			}
			this.inFlight = false;
			return step(this.flow.timedOut());
		}

		private boolean step(NextStep next) {
			this.last = next;
			if (next != NextStep.SEND && next != NextStep.NOTHING) {
				this.finalSteps++;
			}
			return true;
		}

		private void check() {
			assertThat(this.finalSteps).as("final responses after %s", this.path).isLessThanOrEqualTo(1);
			assertThat(this.attempts).as("attempts after %s", this.path).isLessThanOrEqualTo(this.maxAttempts);
			if (!this.repeatable) {
				int runs = this.possibleExecutions + (this.inFlight ? 1 : 0);
				assertThat(runs).as("possible executions after %s", this.path).isLessThanOrEqualTo(1);
			}
			if (this.last == NextStep.REJECT) {
				assertThat(this.possibleExecutions).as("executions of a rejected request after %s", this.path).isZero();
			}
			if (this.partReceived && this.flow.done()) {
				assertThat(this.last).as("end of a partial response after %s", this.path)
					.isIn(NextStep.CLOSE_CONNECTION, NextStep.CANCEL, NextStep.NOTHING);
			}
			assertThat(this.flow.done()).as("done after %s", this.path).isEqualTo(this.finalSteps == 1);
		}

	}

}
