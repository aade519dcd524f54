package io.sequoialink.gateway.codec;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes the requests on a connection. Confined to the event loop.
 *
 * <p>
 * A malformed request ends with an object whose decoder result is a failure, and so does
 * one with both a Content-Length and chunked encoding, because another server could
 * interpret the length differently (request smuggling). Nothing is decoded after it.
 */
public class RequestDecoder extends HttpRequestDecoder {

	private final MessageSyntax syntax = new MessageSyntax(MessageKind.REQUEST, this::createInvalidMessage);

	/**
	 * Creates a decoder.
	 * @param config limits of heads and chunks
	 */
	protected RequestDecoder(HttpDecoderConfig config) {
		super(config);
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> out) throws Exception {
		this.syntax.decode(input, out, () -> super.decode(context, input, out));
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("message has both Content-Length and chunked Transfer-Encoding");
	}

}
