package io.sequoialink.remote;

import io.servicetalk.http.api.DefaultHttpHeadersFactory;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaderValues;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpHeadersFactory;

/**
 * What ServiceTalk leaves unchecked in the headers of requests and answers. Stateless.
 */
public final class HeaderRules {

	/** Checks names, cookies and, other than by default, values of headers. */
	public static final HttpHeadersFactory VALIDATING = new DefaultHttpHeadersFactory(true, true, true);

	private HeaderRules() {
	}

	/**
	 * Returns whether the length of a message is known. ServiceTalk takes a message for
	 * chunked if that is one of its transfer codings, and for one without if it has
	 * others.
	 * @param headers headers of the message
	 * @return whether it has no transfer coding, or chunks once and nothing else
	 */
	public static boolean lengthIsKnown(HttpHeaders headers) {
		int codings = 0;
		boolean chunked = true;
		for (CharSequence coding : headers.values(HttpHeaderNames.TRANSFER_ENCODING)) {
			codings++;
			chunked &= HttpHeaderValues.CHUNKED.toString().equalsIgnoreCase(coding.toString().strip());
		}
		return codings == 0 || (codings == 1 && chunked);
	}

}
