package io.sequoialink.membership;

/**
 * A message of the peer port is not accepted. Nothing of it was taken in. Immutable.
 */
final class RefusedFrameException extends Exception {

	private final FrameRefusal refusal;

	RefusedFrameException(FrameRefusal refusal, String message) {
		super(message);
		this.refusal = refusal;
	}

	FrameRefusal refusal() {
		return this.refusal;
	}

}
