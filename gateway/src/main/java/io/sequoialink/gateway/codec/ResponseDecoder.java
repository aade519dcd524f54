package io.sequoialink.gateway.codec;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses on a connection that is used for one request after the other.
 * Confined to the event loop.
 *
 * <p>
 * Bytes that follow a complete response belong to no request. A connection that has any
 * must not carry another request: the next response would be read as the rest of them.
 *
 * <p>
 * A malformed response ends with an object whose decoder result is a failure; nothing is
 * decoded after it.
 */
public class ResponseDecoder extends HttpResponseDecoder {

	/** The decoder takes any word for the name of the protocol, and any blanks. */
	private static final Pattern STATUS_LINE = Pattern.compile("/\\d+\\.\\d+\\s+0*\\d{3}(?!\\d)");

	private final MessageSyntax syntax = new MessageSyntax(StartLines::checkStatusLine, this::createInvalidMessage);

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> out) throws Exception {
		this.syntax.decode(input, out, () -> super.decode(context, input, out));
	}

	@Override
	protected void decodeLast(ChannelHandlerContext context, ByteBuf input, List<Object> out) throws Exception {
		if (!this.syntax.broken()) {
			super.decodeLast(context, input, out);
		}
	}

	/**
	 * Returns whether bytes were received that no message contains. Valid while a message
	 * is being handled.
	 * @return whether bytes follow the message
	 */
	public boolean hasMoreBytes() {
		return actualReadableBytes() > 0;
	}

	/**
	 * Returns whether a head may have been read from the beginning of one response and
	 * the head of the next: a status line stands inside it. A right response may quote
	 * one, so this is asked only where something may have come before.
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

	/**
	 * Returns whether a status line stands in bytes of a body.
	 * @param body the bytes
	 * @return whether they may hold the head of another response
	 */
	public static boolean hasStatusLine(ByteBuf body) {
		return hasStatusLine(body.toString(StandardCharsets.ISO_8859_1));
	}

	// Most texts are searched for one character only.
	private static boolean hasStatusLine(String text) {
		return text.indexOf('/') >= 0 && STATUS_LINE.matcher(text).find();
	}

}
