package io.sequoialink.gateway.permit;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.sequoialink.gateway.feed.EventLoopTimer;
import io.sequoialink.gateway.relay.DatagramSender;
import io.sequoialink.gateway.relay.Peer;

/**
 * Questions for slots that await the answer of the host that keeps a server's account.
 * Confined to the event loop. Each question is answered exactly once.
 */
final class SlotQuestions {

	/** Time after which a question is asked again, in milliseconds. */
	private static final long REPEAT_MILLIS = 50;

	/** Time after which a question counts as unanswered, in milliseconds. */
	private static final long ANSWER_MILLIS = 120;

	/**
	 * Number of questions in a row without an answer after which a keeper counts as
	 * silent. Single datagrams are lost now and then while it gives the slots to others.
	 */
	private static final int UNANSWERED_TO_BE_SILENT = 3;

	/** Time for which a keeper that did not answer is not asked. */
	private static final long SILENT_NANOS = TimeUnit.SECONDS.toNanos(2);

	/** What became of a question. */
	enum Outcome {

		/** The request may be sent. */
		GIVEN,

		/** All slots are taken. */
		FULL,

		/** No answer came; the keeper may have given the slot. */
		UNANSWERED,

		/** No answer came, nor to the questions before: the keeper is not reached. */
		SILENT

	}

	private final DatagramSender sender;

	private final EventLoopTimer timer;

	private final LongSupplier clock;

	private final Map<Long, Question> open = new HashMap<>();

	private final Map<String, Long> silentUntil = new HashMap<>();

	private final Map<String, Integer> unanswered = new HashMap<>();

	SlotQuestions(DatagramSender sender, EventLoopTimer timer, LongSupplier clock) {
		this.sender = sender;
		this.timer = timer;
		this.clock = clock;
	}

	/**
	 * Returns whether a keeper was not reached of late, so that it is not asked.
	 * @param keeper the host
	 * @return whether it counts as silent
	 */
	boolean silent(Peer keeper) {
		long now = this.clock.getAsLong();
		return this.silentUntil.getOrDefault(keeper.host(), now) - now > 0;
	}

	/**
	 * Asks a keeper.
	 * @param keeper the host
	 * @param question the question, with a number of its own
	 * @param receiver receives the outcome
	 */
	void ask(Peer keeper, SlotMessage.Report question, Consumer<Outcome> receiver) {
		long number = question.number();
		this.open.put(number, new Question(keeper, receiver));
		send(keeper, question);
		this.timer.schedule(() -> repeat(number, question), REPEAT_MILLIS);
		this.timer.schedule(() -> giveUp(number), ANSWER_MILLIS);
	}

	private void send(Peer to, SlotMessage message) {
		this.sender.send(to.address(), SlotFormat.write(message));
	}

	private void repeat(long number, SlotMessage.Report question) {
		Question asked = this.open.get(number);
		if (asked != null) {
			send(asked.keeper, question);
		}
	}

	private void giveUp(long number) {
		Question asked = this.open.remove(number);
		if (asked == null) {
			return;
		}
		boolean silent = this.unanswered.merge(asked.keeper.host(), 1, Integer::sum) >= UNANSWERED_TO_BE_SILENT;
		if (silent) {
			this.silentUntil.put(asked.keeper.host(), this.clock.getAsLong() + SILENT_NANOS);
		}
		asked.receiver.accept(silent ? Outcome.SILENT : Outcome.UNANSWERED);
	}

	/**
	 * Records that a datagram of a host came, so it is not silent.
	 * @param peer the host
	 */
	void heardFrom(Peer peer) {
		this.silentUntil.remove(peer.host());
		this.unanswered.remove(peer.host());
	}

	/**
	 * Processes an answer. One to a question that is not open any more is ignored.
	 * @param answer the answer
	 */
	void answered(SlotMessage.Answer answer) {
		Question asked = this.open.remove(answer.number());
		if (asked != null) {
			asked.receiver.accept(answer.given() ? Outcome.GIVEN : Outcome.FULL);
		}
	}

	/** A question that awaits its answer. Immutable. */
	private record Question(Peer keeper, Consumer<Outcome> receiver) {
	}

}
