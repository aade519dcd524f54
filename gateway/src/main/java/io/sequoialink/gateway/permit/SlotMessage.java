package io.sequoialink.gateway.permit;

import io.sequoialink.decision.limits.SlotAccount;

/**
 * Datagram between two hosts about the slots of a brittle backend server.
 */
sealed interface SlotMessage {

	/**
	 * Returns the name of the host that sent the message.
	 * @return name of the host
	 */
	String sender();

	/**
	 * Reports what a host has at a server, and may ask for a slot. Immutable.
	 *
	 * @param sender name of the host
	 * @param server hash of the server's incarnation
	 * @param report what it has there
	 * @param number number of the question, {@link #NO_QUESTION} if it only reports
	 * @param said what the server says of itself
	 */
	record Report(String sender, long server, SlotAccount.Report report, long number,
			SlotAccount.Server said) implements SlotMessage {

		/** Number of a message that asks nothing. */
		static final long NO_QUESTION = 0;

	}

	/**
	 * Answers a question. Immutable.
	 *
	 * @param sender name of the answering host
	 * @param number number of the question
	 * @param given whether a slot was given
	 */
	record Answer(String sender, long number, boolean given) implements SlotMessage {
	}

}
