package io.sequoialink.gateway.place;

import java.util.OptionalLong;

/**
 * Notice that a backend server put into a response. Immutable.
 *
 * @param shuttingDown whether the server is shutting down
 * @param backoffMillis time for which the server wants no requests (back-off), in
 * milliseconds
 */
public record ResponseNotice(boolean shuttingDown, OptionalLong backoffMillis) {

	/** The response contains no notice. */
	public static final ResponseNotice NONE = new ResponseNotice(false, OptionalLong.empty());

}
