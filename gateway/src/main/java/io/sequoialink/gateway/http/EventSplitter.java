package io.sequoialink.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Cuts the bytes of an event stream after whole events, so that a client never receives a
 * part of one. Confined to the event loop; {@link #release()} frees what it holds.
 */
final class EventSplitter {

	/** Most bytes of one event; beyond it the stream counts as broken. */
	static final int MAX_EVENT_BYTES = 1 << 20;

	/** Most bytes of a stream in which no event with an id ends. */
	static final int MAX_EVENTLESS_BYTES = 2 << 20;

	private static final byte LINE_END = '\n';

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	private ByteBuf rest = Unpooled.EMPTY_BUFFER;

	private String lastId;

	private int events;

	private int bytesSinceEvent;

	/**
	 * Takes bytes and returns those that end whole events.
	 * @param data bytes of the stream; ownership passes to this splitter
	 * @return whole events, empty if none has ended; the caller releases it
	 */
	ByteBuf take(ByteBuf data) {
		int before = this.events;
		this.bytesSinceEvent += data.readableBytes();
		ByteBuf all = this.rest.isReadable() ? joined(this.rest, data) : data;
		this.rest = Unpooled.EMPTY_BUFFER;
		int end = endOfWholeEvents(all);
		this.bytesSinceEvent = (this.events > before) ? 0 : this.bytesSinceEvent;
		if (end == all.readerIndex()) {
			this.rest = all;
			return Unpooled.EMPTY_BUFFER;
		}
		if (end == all.writerIndex()) {
			return all;
		}
		ByteBuf whole = all.readRetainedSlice(end - all.readerIndex());
		this.rest = all;
		return whole;
	}

	// One buffer, since each further piece would be searched through all before it.
	private static ByteBuf joined(ByteBuf rest, ByteBuf data) {
		ByteBuf all = Unpooled.buffer(rest.readableBytes() + data.readableBytes());
		all.writeBytes(rest).writeBytes(data);
		rest.release();
		data.release();
		return all;
	}

	private int endOfWholeEvents(ByteBuf all) {
		int end = all.readerIndex();
		int lineStart = end;
		String id = null;
		int newline = all.indexOf(lineStart, all.writerIndex(), LINE_END);
		while (newline >= 0) {
			int length = lineLength(all, lineStart, newline);
			if (length == 0) {
				end = newline + 1;
				if (id != null) {
					this.lastId = id;
					this.events++;
				}
				id = null;
			}
			else {
				id = idOf(all, lineStart, length, id);
			}
			lineStart = newline + 1;
			newline = (lineStart < all.writerIndex()) ? all.indexOf(lineStart, all.writerIndex(), LINE_END) : -1;
		}
		return end;
	}

	private static int lineLength(ByteBuf all, int start, int newline) {
		int length = newline - start;
		boolean carriageReturn = length > 0 && all.getByte(newline - 1) == '\r';
		return carriageReturn ? length - 1 : length;
	}

	private static String idOf(ByteBuf all, int start, int length, String before) {
		if (length < ID_FIELD.length) {
			return before;
		}
		for (int i = 0; i < ID_FIELD.length; i++) {
			if (all.getByte(start + i) != ID_FIELD[i]) {
				return before;
			}
		}
		return all.toString(start + ID_FIELD.length, length - ID_FIELD.length, StandardCharsets.US_ASCII).trim();
	}

	/**
	 * Returns the id of the last whole event.
	 * @return the id, or empty before the first event
	 */
	Optional<String> lastId() {
		return Optional.ofNullable(this.lastId);
	}

	/**
	 * Returns how many events with an id have ended.
	 * @return the number of events
	 */
	int events() {
		return this.events;
	}

	/**
	 * Returns whether bytes of an unfinished event are held.
	 * @return whether an event is cut
	 */
	boolean unfinished() {
		return this.rest.isReadable();
	}

	/**
	 * Returns whether an event is longer than is accepted, or none with an id has ended
	 * in many bytes, as of comments.
	 * @return whether the stream counts as broken
	 */
	boolean overflown() {
		return this.rest.readableBytes() > MAX_EVENT_BYTES || this.bytesSinceEvent > MAX_EVENTLESS_BYTES;
	}

	/**
	 * Drops what an abandoned run left unfinished.
	 */
	void release() {
		this.rest.release();
		this.rest = Unpooled.EMPTY_BUFFER;
	}

}
