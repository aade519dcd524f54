package io.sequoialink.gateway.codec;

/**
 * An HTTP/1 message breaks the syntax of the protocol, so that its sender and its readers
 * may take it for different messages. Immutable.
 */
public final class MalformedMessageException extends Exception {

	private final Reason reason;

	MalformedMessageException(Reason reason) {
		super(reason.text, null, false, false);
		this.reason = reason;
	}

	/**
	 * Returns what is wrong.
	 * @return the reason, whose text is the message of this exception
	 */
	public Reason reason() {
		return this.reason;
	}

	/** What is wrong with a message. */
	public enum Reason {

		/** Its first line is neither a request line nor a status line. */
		START_LINE("its first line is malformed"),

		/** The major version of the protocol is not 1. */
		VERSION("its version is not HTTP/1"),

		/**
		 * The size of a chunk is no number, or is followed by anything but an extension;
		 * or its data is followed by anything but the end of a line.
		 */
		CHUNK("a chunk is malformed"),

		/** It has a transfer coding other than chunks. */
		CODING("it has a transfer coding that is not known here"),

		/** Its last transfer coding is not chunks, so that its length is unknown. */
		CODING_ORDER("its last transfer coding is not chunked"),

		/** A field has no name, or one with a blank or a control byte, or is folded. */
		FIELD_NAME("a field has no name, or one with a blank or a control byte"),

		/** Not three digits, or outside the range that the protocol has. */
		STATUS("its status code is not between 100 and 599");

		private final String text;

		Reason(String text) {
			this.text = text;
		}

	}

}
