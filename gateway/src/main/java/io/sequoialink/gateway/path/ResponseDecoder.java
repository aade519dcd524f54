package io.sequoialink.gateway.path;

import java.util.Map;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses on a connection that is used for one request after the other.
 * Confined to the event loop.
 *
 * <p>
 * Bytes that follow a complete response belong to no request. A connection that has any
 * must not carry another request: the next response would be read as the rest of them.
 */
public class ResponseDecoder extends HttpResponseDecoder {

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}(\\D|$)");

	/**
	 * Returns whether bytes were received that no message contains. Valid while a message
	 * is being handled.
	 * @return whether bytes follow the message
	 */
	public boolean hasMoreBytes() {
		return actualReadableBytes() > 0;
	}

	/**
	 * Returns whether a head was read from the beginning of one response and the head of
	 * the next: a status line stands inside it.
	 * @param response the head
	 * @return whether its status and its headers may be those of different responses
	 */
	public static boolean joined(HttpResponse response) {
		if (hasStatusLine(response.status().reasonPhrase())) {
			return true;
		}
		for (Map.Entry<String, String> header : response.headers()) {
			if (hasStatusLine(header.getKey() + ' ' + header.getValue())) {
				return true;
			}
		}
		return false;
	}

	// Most heads are searched for a plain text only.
	private static boolean hasStatusLine(String text) {
		return text.contains("HTTP/") && STATUS_LINE.matcher(text).find();
	}

}
