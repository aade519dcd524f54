package io.sequoialink.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A failure that a backend server signed, kept until it is clear whether another send
 * does better. Its owner releases the body.
 *
 * @param status status code
 * @param headers headers of the answer
 * @param body whole body
 */
record KeptFailure(int status, HttpHeaders headers, ByteBuf body) {
}
