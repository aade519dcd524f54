package io.sequoialink.gateway.codec;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Decodes the responses on a connection that is used for one request after the other.
 * Confined to the event loop.
 *
 * <p>
 * Bytes that follow a complete response belong to no request. A connection that has any
 * must not carry another request: the next response would be read as the rest of them.
 *
 * <p>
 * A response with neither a length nor chunks is complete only if the server ended its
 * output in order and the request had been written whole by then, or was afterwards: a
 * lost connection ends the input as well, at times without an error once a write has
 * failed. The connection has the options of {@link #configure(Bootstrap)}, without which
 * a failed write discards what was received before. It is closed after the end of input.
 *
 * <p>
 * A malformed response ends with an object whose decoder result is a failure; nothing is
 * decoded after it.
 */
public class ResponseDecoder extends HttpResponseDecoder {

	/** The decoder takes any word for the name of the protocol, and any blanks. */
	private static final Pattern STATUS_LINE = Pattern.compile("/\\d+\\.\\d+\\s+0*\\d{3}(?!\\d)");

	private final MessageSyntax syntax = new MessageSyntax(MessageKind.RESPONSE, this::createInvalidMessage);

	private final RequestWrites writes = new RequestWrites();

	private boolean endsWithConnection;

	private boolean endedInOrder;

	/**
	 * Sets the options of a connection to a server: what it has sent is still read after
	 * it has ended its output, and after a write has failed.
	 * @param bootstrap bootstrap of the connection; changed in place
	 * @return the same bootstrap
	 */
	public static Bootstrap configure(Bootstrap bootstrap) {
		return bootstrap.option(ChannelOption.ALLOW_HALF_CLOSURE, true).option(ChannelOption.AUTO_CLOSE, false);
	}

	/**
	 * Limits what the socket of a connection holds that is written for another host: so
	 * much of a request may be lost without a sign once the server has ended its output.
	 * @param channel connection to the server
	 */
	public static void limitSendBuffer(Channel channel) {
		RequestWrites.limitSendBuffer(channel);
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) throws Exception {
		super.handlerAdded(context);
		context.pipeline().addBefore(context.name(), null, this.writes);
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> out) throws Exception {
		int decoded = out.size();
		this.syntax.decode(input, out, () -> super.decode(context, input, out));
		for (int i = decoded; i < out.size(); i++) {
			noteFraming(out.get(i));
		}
	}

	private void noteFraming(Object object) {
		if (object instanceof HttpResponse response) {
			this.endsWithConnection = !HttpUtil.isTransferEncodingChunked(response)
					&& !HttpUtil.isContentLengthSet(response);
		}
		if (object instanceof LastHttpContent) {
			this.endsWithConnection = false;
		}
	}

	@Override
	protected void decodeLast(ChannelHandlerContext context, ByteBuf input, List<Object> out) throws Exception {
		boolean lost = this.endsWithConnection && !this.endedInOrder;
		if (!this.syntax.broken() && !lost) {
			super.decodeLast(context, input, out);
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
		if (!(event instanceof ChannelInputShutdownEvent)) {
			super.userEventTriggered(context, event);
			return;
		}
		if (this.endsWithConnection) {
			this.writes.whenSettled((failure) -> endOfInput(context, failure));
		}
		else {
			context.close();
		}
	}

	private void endOfInput(ChannelHandlerContext context, Optional<Throwable> writeFailure) {
		if (writeFailure.isPresent()) {
			context.fireExceptionCaught(new RequestCutException(writeFailure.get()));
		}
		else {
			this.endedInOrder = true;
		}
		context.close();
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
