package io.sequoialink.gateway.codec;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.sequoialink.gateway.codec.MalformedMessageException.Reason;

/**
 * The transfer codings by which a message can be read. Stateless.
 *
 * <p>
 * Bodies are passed on without their transfer coding, so that only chunks can be taken.
 * The decoder takes a message for chunked if that word stands anywhere among the codings,
 * and without it for one without codings.
 */
final class TransferCodings {

	private static final String CHUNKED = "chunked";

	/** States that there is no coding; servers of earlier versions of HTTP send it. */
	private static final String IDENTITY = "identity";

	private TransferCodings() {
	}

	/**
	 * Checks the codings of a request. Without chunks at the end its length can't be
	 * determined (RFC 9112, section 6.3).
	 * @param headers headers of the request
	 * @throws MalformedMessageException if it has others than chunks
	 */
	static void checkRequest(HttpHeaders headers) throws MalformedMessageException {
		if (!headers.contains(HttpHeaderNames.TRANSFER_ENCODING)) {
			return;
		}
		List<String> codings = read(headers);
		if (codings.equals(List.of(CHUNKED))) {
			return;
		}
		int chunks = codings.indexOf(CHUNKED);
		boolean chunkedIsLast = chunks >= 0 && chunks == codings.size() - 1;
		throw new MalformedMessageException(chunkedIsLast ? Reason.CODING : Reason.CODING_ORDER);
	}

	/**
	 * Checks the codings of a response.
	 * @param headers headers of the response
	 * @throws MalformedMessageException if it has others than chunks
	 */
	static void checkResponse(HttpHeaders headers) throws MalformedMessageException {
		if (!headers.contains(HttpHeaderNames.TRANSFER_ENCODING)) {
			return;
		}
		List<String> codings = read(headers);
		if (!codings.equals(List.of(CHUNKED)) && !codings.equals(List.of(IDENTITY))) {
			throw new MalformedMessageException(Reason.CODING);
		}
	}

	// An empty element of a list means nothing (RFC 9110, section 5.6.1).
	private static List<String> read(HttpHeaders headers) {
		List<String> codings = new ArrayList<>();
		for (String value : headers.getAll(HttpHeaderNames.TRANSFER_ENCODING)) {
			Stream.of(value.split(","))
				.map(String::strip)
				.filter((coding) -> !coding.isEmpty())
				.map((coding) -> coding.toLowerCase(Locale.ROOT))
				.forEach(codings::add);
		}
		return codings;
	}

}
