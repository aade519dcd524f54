package io.sequoialink.gateway.codec;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Supplier;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Checks the messages on one connection where Netty's decoder is more lenient than the
 * protocol. Confined to the event loop.
 *
 * <p>
 * The decoder reads the same bytes after this class, and both go line by line through a
 * head: the decoder never consumes a part of a line. Invariant: {@link #ahead} bytes that
 * the decoder has not consumed yet were found in order.
 */
final class MessageSyntax {

	private static final byte COLON = ':';

	private static final byte LINE_FEED = '\n';

	private static final byte CARRIAGE_RETURN = '\r';

	private static final int DELETE = 0x7f;

	private final MessageKind kind;

	private final Supplier<HttpMessage> invalidMessage;

	private Part part = Part.START_LINE;

	private int ahead;

	private int chunkLeft;

	private boolean broken;

	/**
	 * Creates a check for a connection on which nothing was received.
	 * @param kind kind of the messages
	 * @param invalidMessage creates a message for a head that is malformed
	 */
	MessageSyntax(MessageKind kind, Supplier<HttpMessage> invalidMessage) {
		this.kind = kind;
		this.invalidMessage = invalidMessage;
	}

	/**
	 * Returns whether a message was malformed. All further input is discarded.
	 * @return whether the connection is of no more use
	 */
	boolean broken() {
		return this.broken;
	}

	/**
	 * Checks the input and has it decoded. A malformed message ends with an object whose
	 * decoder result is a failure by {@link MalformedMessageException}.
	 * @param input what was received and not decoded yet
	 * @param out receives the decoded objects
	 * @param decoder decodes a part of the input
	 * @throws Exception if the decoder fails
	 */
	void decode(ByteBuf input, List<Object> out, Decoder decoder) throws Exception {
		if (!this.broken) {
			try {
				inspect(input);
				decodeInspected(input, out, decoder);
			}
			catch (MalformedMessageException ex) {
				refuse(ex, out);
			}
		}
		if (this.broken) {
			input.skipBytes(input.readableBytes());
		}
	}

	private void decodeInspected(ByteBuf input, List<Object> out, Decoder decoder) throws Exception {
		int start = input.readerIndex();
		int first = out.size();
		decoder.decode();
		this.ahead = Math.max(0, this.ahead - (input.readerIndex() - start));
		for (int i = first; i < out.size(); i++) {
			checkHeaders(out, i);
			decoded((HttpObject) out.get(i));
		}
	}

	private void checkHeaders(List<Object> out, int index) throws MalformedMessageException {
		if (!(out.get(index) instanceof HttpMessage message) || message.decoderResult().isFailure()) {
			return;
		}
		try {
			this.kind.headers().check(message.headers());
		}
		catch (MalformedMessageException ex) {
			this.part = Part.FIELDS;
			while (out.size() > index) {
				ReferenceCountUtil.release(out.remove(out.size() - 1));
			}
			throw ex;
		}
	}

	private void refuse(MalformedMessageException cause, List<Object> out) {
		boolean inHead = this.part == Part.START_LINE || this.part == Part.FIELDS;
		HttpObject refused = inHead ? this.invalidMessage.get() : new DefaultLastHttpContent();
		refused.setDecoderResult(DecoderResult.failure(cause));
		out.add(refused);
		this.broken = true;
	}

	private void decoded(HttpObject object) {
		if (object instanceof HttpMessage message) {
			this.part = HttpUtil.isTransferEncodingChunked(message) ? Part.CHUNK_SIZE : Part.UNCHECKED;
		}
		if (object instanceof LastHttpContent) {
			this.part = Part.START_LINE;
			this.ahead = 0;
		}
	}

	private void inspect(ByteBuf input) throws MalformedMessageException {
		boolean found = true;
		while (found) {
			found = switch (this.part) {
				case START_LINE -> startLine(input);
				case FIELDS, TRAILERS -> field(input);
				case CHUNK_SIZE -> chunkSize(input);
				case CHUNK -> chunk(input);
				case CHUNK_END -> chunkEnd(input);
				case UNCHECKED -> false;
			};
		}
	}

	// Empty lines may precede a message (RFC 9112, 2.2); the decoder skips anything that
	// is no character, and consumes it before the line is whole.
	private boolean startLine(ByteBuf input) throws MalformedMessageException {
		int start = input.readerIndex() + this.ahead;
		while (start < input.writerIndex() && isLineEnd(input.getByte(start))) {
			start++;
		}
		this.ahead = start - input.readerIndex();
		if (start < input.writerIndex() && isBlankOrControl(input.getByte(start))) {
			throw new MalformedMessageException(MalformedMessageException.Reason.START_LINE);
		}
		int end = endOfLine(input);
		if (end < 0) {
			return false;
		}
		this.kind.startLine().check(text(input, start, end));
		this.part = Part.FIELDS;
		advance(input, end);
		return true;
	}

	private boolean field(ByteBuf input) throws MalformedMessageException {
		int start = input.readerIndex() + this.ahead;
		int end = endOfLine(input);
		if (end < 0) {
			return false;
		}
		if (textEnd(input, start, end) == start) {
			this.part = Part.UNCHECKED;
		}
		else if (!(this.kind.foldedFields() && isBlank(input.getByte(start)))) {
			checkField(input, start, end);
		}
		advance(input, end);
		return true;
	}

	// The decoder shortens a name at a blank, and appends a line that begins with one to
	// the value before. It checks the other characters itself.
	private static void checkField(ByteBuf input, int start, int end) throws MalformedMessageException {
		int colon = input.indexOf(start, end, COLON);
		if (colon <= start) {
			throw new MalformedMessageException(MalformedMessageException.Reason.FIELD_NAME);
		}
		for (int i = start; i < colon; i++) {
			if (isBlankOrControl(input.getByte(i))) {
				throw new MalformedMessageException(MalformedMessageException.Reason.FIELD_NAME);
			}
		}
	}

	private boolean chunkSize(ByteBuf input) throws MalformedMessageException {
		int start = input.readerIndex() + this.ahead;
		int end = endOfLine(input);
		if (end < 0) {
			return false;
		}
		this.chunkLeft = ChunkSize.parse(input, start, textEnd(input, start, end));
		this.part = (this.chunkLeft > 0) ? Part.CHUNK : Part.TRAILERS;
		advance(input, end);
		return true;
	}

	private boolean chunk(ByteBuf input) {
		int found = Math.min(this.chunkLeft, input.readableBytes() - this.ahead);
		this.chunkLeft -= found;
		this.ahead += found;
		if (this.chunkLeft == 0) {
			this.part = Part.CHUNK_END;
		}
		return this.chunkLeft == 0;
	}

	// The decoder consumes the line end behind a chunk byte by byte.
	private boolean chunkEnd(ByteBuf input) throws MalformedMessageException {
		if (this.ahead == input.readableBytes()) {
			return false;
		}
		byte octet = input.getByte(input.readerIndex() + this.ahead);
		if (!isLineEnd(octet)) {
			throw new MalformedMessageException(MalformedMessageException.Reason.CHUNK);
		}
		this.ahead++;
		if (octet == LINE_FEED) {
			this.part = Part.CHUNK_SIZE;
		}
		return true;
	}

	private int endOfLine(ByteBuf input) {
		return input.indexOf(input.readerIndex() + this.ahead, input.writerIndex(), LINE_FEED);
	}

	private void advance(ByteBuf input, int lineFeed) {
		this.ahead = lineFeed + 1 - input.readerIndex();
	}

	private static String text(ByteBuf input, int start, int lineFeed) {
		return input.toString(start, textEnd(input, start, lineFeed) - start, StandardCharsets.ISO_8859_1);
	}

	private static int textEnd(ByteBuf input, int start, int lineFeed) {
		return (lineFeed > start && input.getByte(lineFeed - 1) == CARRIAGE_RETURN) ? lineFeed - 1 : lineFeed;
	}

	private static boolean isLineEnd(byte octet) {
		return octet == CARRIAGE_RETURN || octet == LINE_FEED;
	}

	static boolean isBlank(byte octet) {
		return octet == ' ' || octet == '\t';
	}

	static boolean isBlankOrControl(byte octet) {
		return (octet >= 0 && octet <= ' ') || octet == DELETE;
	}

	/**
	 * The part of a message that is inspected next; a body with a length, or without, is
	 * not.
	 */
	private enum Part {

		START_LINE, FIELDS, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILERS, UNCHECKED

	}

	/**
	 * Decodes a part of the input.
	 */
	@FunctionalInterface
	interface Decoder {

		/**
		 * Decodes.
		 * @throws Exception if the input cannot be decoded
		 */
		void decode() throws Exception;

	}

}
