package io.sequoialink.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Splits the bytes of a server-sent event stream at event boundaries, so that a client
 * never receives a partial event. Confined to the event loop. {@link #release()} frees
 * the buffered bytes.
 */
final class EventStreamSplitter {

	/** Maximum size of one event; a longer one makes the attempt fail. */
	static final int MAX_EVENT_BYTES = 1 << 20;

	/** Maximum number of bytes without the end of an event that has an id. */
	static final int MAX_EVENTLESS_BYTES = 2 << 20;

	private static final byte LINE_END = '\n';

	private static final byte COMMENT = ':';

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	private ByteBuf partial = Unpooled.EMPTY_BUFFER;

	private String firstId;

	private String lastId;

	private boolean textBeforeFirstEvent;

	private int events;

	private int bytesSinceEvent;

	private int searched;

	private int lineStart;

	private String blockId;

	private boolean blockText;

	/**
	 * Appends received bytes and returns all events that are complete. Each byte is
	 * searched once and copied once or twice, in however small pieces it arrives.
	 * @param data bytes of the stream; ownership passes to this splitter
	 * @return complete events, empty if none has ended; the caller releases it
	 */
	ByteBuf append(ByteBuf data) {
		int previous = this.events;
		this.bytesSinceEvent += data.readableBytes();
		ByteBuf all = this.partial.isReadable() ? appendToPartial(data) : data;
		this.partial = Unpooled.EMPTY_BUFFER;
		int length = lengthOfWholeEvents(all);
		this.bytesSinceEvent = (this.events > previous) ? 0 : this.bytesSinceEvent;
		if (length == all.readableBytes()) {
			return all;
		}
		ByteBuf complete = (length > 0) ? all.readRetainedSlice(length) : Unpooled.EMPTY_BUFFER;
		this.partial = (all == data || length > 0) ? copyAndRelease(all) : all;
		return complete;
	}

	// The buffer doubles when it is full, so all copies together are linear.
	private ByteBuf appendToPartial(ByteBuf data) {
		this.partial.writeBytes(data);
		data.release();
		return this.partial;
	}

	private static ByteBuf copyAndRelease(ByteBuf rest) {
		ByteBuf copy = Unpooled.buffer(rest.readableBytes());
		copy.writeBytes(rest);
		rest.release();
		return copy;
	}

	// Goes on where the last search ended; positions are relative to the first byte that
	// was not returned yet.
	private int lengthOfWholeEvents(ByteBuf all) {
		int start = all.readerIndex();
		int length = 0;
		int newline = all.indexOf(start + this.searched, all.writerIndex(), LINE_END);
		while (newline >= 0) {
			if (lineEnded(all, start + this.lineStart, newline)) {
				length = newline + 1 - start;
			}
			this.lineStart = newline + 1 - start;
			newline = (newline + 1 < all.writerIndex()) ? all.indexOf(newline + 1, all.writerIndex(), LINE_END) : -1;
		}
		this.lineStart -= length;
		this.searched = all.readableBytes() - length;
		return length;
	}

	private boolean lineEnded(ByteBuf all, int from, int newline) {
		int length = lineLength(all, from, newline);
		if (length > 0) {
			this.blockId = idOf(all, from, length, this.blockId);
			this.blockText = this.blockText || all.getByte(from) != COMMENT;
			return false;
		}
		blockEnded(this.blockId, this.blockText);
		this.blockId = null;
		this.blockText = false;
		return true;
	}

	private void blockEnded(String id, boolean text) {
		if (id == null) {
			this.textBeforeFirstEvent = this.textBeforeFirstEvent || (text && this.events == 0);
			return;
		}
		this.firstId = (this.events == 0) ? id : this.firstId;
		this.lastId = id;
		this.events++;
	}

	private static int lineLength(ByteBuf all, int start, int newline) {
		int length = newline - start;
		boolean carriageReturn = length > 0 && all.getByte(newline - 1) == '\r';
		return carriageReturn ? length - 1 : length;
	}

	private static String idOf(ByteBuf all, int start, int length, String previous) {
		if (length < ID_FIELD.length) {
			return previous;
		}
		for (int i = 0; i < ID_FIELD.length; i++) {
			if (all.getByte(start + i) != ID_FIELD[i]) {
				return previous;
			}
		}
		return all.toString(start + ID_FIELD.length, length - ID_FIELD.length, StandardCharsets.US_ASCII).trim();
	}

	/**
	 * Returns the id of the last complete event.
	 * @return the id, or empty before the first event
	 */
	Optional<String> lastId() {
		return Optional.ofNullable(this.lastId);
	}

	/**
	 * Returns the id of the first complete event.
	 * @return the id, or empty before the first event
	 */
	Optional<String> firstId() {
		return Optional.ofNullable(this.firstId);
	}

	/**
	 * Returns whether anything but comments came before the first event that has an id.
	 * @return whether the stream begins with text that belongs to no event with an id
	 */
	boolean textBeforeFirstEvent() {
		return this.textBeforeFirstEvent;
	}

	/**
	 * Returns the number of complete events that have an id.
	 * @return the number of events
	 */
	int events() {
		return this.events;
	}

	/**
	 * Returns whether bytes of an incomplete event are buffered.
	 * @return whether the last event is incomplete
	 */
	boolean hasPartialEvent() {
		return this.partial.isReadable();
	}

	/**
	 * Returns the size of the incomplete event.
	 * @return number of buffered bytes
	 */
	int partialBytes() {
		return this.partial.readableBytes();
	}

	/**
	 * Returns whether an event exceeds its maximum size, or too many bytes arrived
	 * without a complete event that has an id, as in an endless run of comments.
	 * @return whether the stream must be aborted
	 */
	boolean limitExceeded() {
		return this.partial.readableBytes() > MAX_EVENT_BYTES || this.bytesSinceEvent > MAX_EVENTLESS_BYTES;
	}

	/**
	 * Discards the bytes of an incomplete event.
	 */
	void release() {
		this.partial.release();
		this.partial = Unpooled.EMPTY_BUFFER;
	}

}
