package io.sequoialink.gateway.codec;

import java.io.IOException;

/**
 * A connection to a server was lost before the request was written whole, after a
 * response had begun that nothing but the end of the connection ends.
 */
public final class RequestCutException extends IOException {

	RequestCutException(Throwable writeFailure) {
		super("the connection was lost while the request was written: " + root(writeFailure).getMessage(),
				writeFailure);
	}

	private static Throwable root(Throwable failure) {
		return (failure.getCause() != null) ? root(failure.getCause()) : failure;
	}

}
