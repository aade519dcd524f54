package io.sequoialink.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A signed error response of a backend server. It is kept until it is known whether
 * another attempt succeeds. The owner releases the body.
 *
 * @param status status code
 * @param headers headers of the response
 * @param body complete body
 */
record BackendFailure(int status, HttpHeaders headers, ByteBuf body) {
}
