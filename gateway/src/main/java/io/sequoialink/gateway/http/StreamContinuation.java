package io.sequoialink.gateway.http;

import java.util.Locale;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * What a client has received of a stream that broke off, to decide whether another
 * server's response goes on with it. Immutable and thread-safe.
 *
 * @param status status code of the part
 * @param contentType content type of the part, if it had one
 * @param lastId id of the last event that was forwarded, if it had one
 */
record StreamContinuation(int status, Optional<String> contentType, Optional<String> lastId) {

	/**
	 * Returns whether a response is of the same kind as the part.
	 * @param responseStatus status code of the response
	 * @param headers its headers
	 * @return whether it has the same status, and the same content type if it has one
	 */
	boolean isSameKind(int responseStatus, HttpHeaders headers) {
		Optional<String> type = contentType(headers);
		return responseStatus == this.status && (type.isEmpty() || type.equals(this.contentType));
	}

	/**
	 * Returns whether an event may come next.
	 * @param id id of the event
	 * @return whether it comes after the last one: it is greater if both are numbers, and
	 * another one otherwise
	 */
	boolean isFollowedBy(String id) {
		if (this.lastId.isEmpty()) {
			return true;
		}
		try {
			return Long.parseLong(id) > Long.parseLong(this.lastId.get());
		}
		catch (NumberFormatException ex) {
			return !id.equals(this.lastId.get());
		}
	}

	/**
	 * Returns the content type of a response without its parameters.
	 * @param headers headers of the response
	 * @return the content type in lower case, if there is one
	 */
	static Optional<String> contentType(HttpHeaders headers) {
		return Optional.ofNullable(headers.get(HttpHeaderNames.CONTENT_TYPE))
			.map((type) -> type.split(";", 2)[0].trim().toLowerCase(Locale.ROOT));
	}

}
