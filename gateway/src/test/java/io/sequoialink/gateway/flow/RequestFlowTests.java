package io.sequoialink.gateway.flow;

import java.util.ArrayList;
import java.util.List;

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
	void aRequestThatMayHaveBeenExecutedIsNotSentAgain() {
		RequestFlow flow = new RequestFlow(false, 3);
		flow.sent();
		assertThat(flow.broken(true)).isEqualTo(Next.REPORT_UNKNOWN);
		assertThatIllegalStateException().isThrownBy(flow::sent);
	}

	@Test
	void inputsAfterTheEndAreIgnored() {
		RequestFlow flow = new RequestFlow(true, 2);
		assertThat(flow.noRoom()).isEqualTo(Next.REFUSE);
		assertThat(flow.timedOut()).isEqualTo(Next.NOTHING);
		assertThat(flow.clientGone()).isEqualTo(Next.NOTHING);
		assertThat(flow.broken(true)).isEqualTo(Next.NOTHING);
	}

	@Test
	void anAttemptInProgressWhenTheClientDisconnectsMayHaveBeenExecuted() {
		RequestFlow sent = new RequestFlow(false, 2);
		sent.sent();
		assertThat(sent.clientGone()).isEqualTo(Next.ABANDON);
		assertThat(sent.ran()).isEqualTo(Ran.UNKNOWN);
		RequestFlow waiting = new RequestFlow(false, 2);
		assertThat(waiting.clientGone()).isEqualTo(Next.ABANDON);
		assertThat(waiting.ran()).isEqualTo(Ran.NO);
	}

	@Test
	void aKnownFailureIsForwardedRatherThanAnUnknownOutcome() {
		RequestFlow flow = new RequestFlow(true, 2);
		flow.sent();
		assertThat(flow.failed(true)).isEqualTo(Next.SEND);
		flow.sent();
		assertThat(flow.broken(false)).isEqualTo(Next.PASS_FAILURE);
	}

	// Streams whose responses had been discarded for two models were cut when the server
	// of the third broke off, as no attempt was left.
	@ParameterizedTest
	@CsvSource({ "1, 1, false", "2, 1, true", "3, 1, true", "3, 2, false", "4, 2, true" })
	void oneAttemptIsReservedForAServerThatBreaksOff(int maxAttempts, int attempts, boolean mayDiscard) {
		RequestFlow flow = new RequestFlow(true, maxAttempts);
		for (int i = 0; i < attempts; i++) {
			flow.sent();
			if (i < attempts - 1) {
				assertThat(flow.dropped()).isEqualTo(Next.SEND);
			}
		}
		assertThat(flow.canSpareSend()).isEqualTo(mayDiscard);
	}

	// A request was rejected within 2 ms after three servers had refused the connection,
	// though others could have run it.
	@ParameterizedTest
	@CsvSource({ "true, 1", "true, 3", "false, 2" })
	void attemptsThatReachNoServerDoNotCountUpToALimit(boolean repeatable, int maxAttempts) {
		RequestFlow flow = new RequestFlow(repeatable, maxAttempts);
		int replacements = 0;
		flow.sent();
		while (flow.mayTryInstead(RequestFlow.CONNECT_RETRY_MILLIS)) {
			replacements++;
			assertThat(flow.unreached()).isEqualTo(Next.SEND);
			flow.sent();
		}
		assertThat(replacements).isEqualTo(RequestFlow.MAX_CONNECT_FAILURES);
		assertThat(flow.ran()).isEqualTo(Ran.NO);
		assertThat(flow.sendsLeft()).isEqualTo(maxAttempts > 1);
		assertThat(flow.notRun(false)).isEqualTo(Next.REFUSE);
	}

	@Test
	void aRequestThatCanBeRejectedTriesOtherServersOnlyForAShortTime() {
		RequestFlow flow = new RequestFlow(true, 3);
		flow.sent();
		assertThat(flow.mayTryInstead(RequestFlow.CONNECT_RETRY_MILLIS + 1)).isFalse();
		flow.broken(true);
		flow.sent();
		assertThat(flow.mayTryInstead(RequestFlow.CONNECT_RETRY_MILLIS + 1)).isTrue();
	}

	@Test
	void aResponseIsNotDiscardedOnceTheClientHasReceivedAPart() {
		RequestFlow flow = new RequestFlow(true, 3);
		flow.sent();
		flow.answering();
		assertThat(flow.dropped()).isEqualTo(Next.NOTHING);
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

		private Next last = Next.SEND;

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
				case NO_ROOM -> !this.inFlight && this.last == Next.SEND && step(this.flow.noRoom());
				case TIMED_OUT -> timedOut();
				case CLIENT_GONE -> step(this.flow.clientGone());
			};
		}

		private boolean send() {
			if (this.inFlight || this.last != Next.SEND) {
				return false;
			}
			this.flow.sent();
			this.attempts++;
			this.inFlight = true;
			return true;
		}

		private boolean unreached() {
			if (!this.inFlight || this.partReceived || !this.flow.mayTryInstead(0)) {
				return false;
			}
			this.inFlight = false;
			this.attempts--;
			return step(this.flow.unreached());
		}

		private boolean end(boolean retryAllowed, boolean ran, Input kind) {
			if (!this.inFlight || (kind != Input.BROKEN && this.partReceived)) {
				return false;
			}
			this.inFlight = false;
			this.possibleExecutions += ran ? 1 : 0;
			return step(ended(kind, retryAllowed));
		}

		private Next ended(Input kind, boolean retryAllowed) {
			return switch (kind) {
				case NOT_RUN -> this.flow.notRun(retryAllowed);
				case FAILED -> this.flow.failed(retryAllowed);
				default -> this.flow.broken(retryAllowed);
			};
		}

		private boolean drop() {
			if (!this.inFlight) {
				return false;
			}
			Next next = this.flow.dropped();
			if (next == Next.SEND) {
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
			this.flow.answering();
			this.partReceived = true;
			return true;
		}

		private boolean answered() {
			if (!this.inFlight || !this.partReceived) {
				return false;
			}
			this.inFlight = false;
			this.possibleExecutions++;
			this.flow.answered();
			this.finalSteps++;
			this.last = Next.NOTHING;
			return true;
		}

		private boolean timedOut() {
			if (this.inFlight) {
				this.possibleExecutions++;
			}
			this.inFlight = false;
			return step(this.flow.timedOut());
		}

		private boolean step(Next next) {
			this.last = next;
			if (next != Next.SEND && next != Next.NOTHING) {
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
			if (this.last == Next.REFUSE) {
				assertThat(this.possibleExecutions).as("executions of a rejected request after %s", this.path).isZero();
			}
			if (this.partReceived && this.flow.done()) {
				assertThat(this.last).as("end of a partial response after %s", this.path)
					.isIn(Next.CUT, Next.ABANDON, Next.NOTHING);
			}
			assertThat(this.flow.done()).as("done after %s", this.path).isEqualTo(this.finalSteps == 1);
		}

	}

}
