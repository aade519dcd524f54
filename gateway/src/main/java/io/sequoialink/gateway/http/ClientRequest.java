package io.sequoialink.gateway.http;

import java.util.Locale;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/**
 * A client's request with its complete body. Immutable except for the body's reference
 * count, which {@link #release()} decrements.
 *
 * @param method method
 * @param target path and query as the client sent them
 * @param headers headers as the client sent them
 * @param body complete body
 * @param keepAlive whether the client may reuse the connection
 * @param receivedNanos monotonic time at which the head arrived, in nanoseconds
 */
record ClientRequest(HttpMethod method, String target, HttpHeaders headers, ByteBuf body, boolean keepAlive,
		long receivedNanos) {

	static ClientRequest of(HttpRequest head, ByteBuf body, long receivedNanos) {
		return new ClientRequest(head.method(), head.uri(), head.headers(), body, HttpUtil.isKeepAlive(head),
				receivedNanos);
	}

	/**
	 * Returns the path without its query.
	 * @return the path
	 */
	String path() {
		int query = this.target.indexOf('?');
		return (query >= 0) ? this.target.substring(0, query) : this.target;
	}

	/**
	 * Returns the name in the Host header.
	 * @return name in lower case without port, empty if the header is missing
	 */
	String host() {
		String named = this.headers.get("host");
		if (named == null) {
			return "";
		}
		int colon = named.lastIndexOf(':');
		String name = (colon >= 0) ? named.substring(0, colon) : named;
		return name.toLowerCase(Locale.ROOT);
	}

	void release() {
		this.body.release();
	}

}
