package io.sequoialink.gateway.http;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class EventStreamSplitterTests {

	private static final String STREAM = "id: 7\ndata: one\n\nid: 8\r\ndata: two\r\n\r\n: note\n\nid:9\ndata: three\n\n";

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 5, 8, 13, 21, 100 })
	void returnsCompleteEventsForAnyChunkSize(int size) {
		EventStreamSplitter splitter = new EventStreamSplitter();
		StringBuilder seen = new StringBuilder();
		for (int from = 0; from < STREAM.length(); from += size) {
			String piece = STREAM.substring(from, Math.min(STREAM.length(), from + size));
			String out = text(splitter.append(bytes(piece)));
			assertThat(out).matches((text) -> text.isEmpty() || text.endsWith("\n\n") || text.endsWith("\n\r\n"));
			seen.append(out);
		}
		assertThat(seen).hasToString(STREAM);
		assertThat(splitter.lastId()).contains("9");
		assertThat(splitter.events()).isEqualTo(3);
		assertThat(splitter.hasPartialEvent()).isFalse();
	}

	@Test
	void partialEventIsBufferedAndItsIdIsIgnored() {
		EventStreamSplitter splitter = new EventStreamSplitter();
		assertThat(text(splitter.append(bytes("id: 1\ndata: a\n\nid: 2\ndata: b")))).isEqualTo("id: 1\ndata: a\n\n");
		assertThat(splitter.lastId()).contains("1");
		assertThat(splitter.hasPartialEvent()).isTrue();
		splitter.release();
		assertThat(splitter.hasPartialEvent()).isFalse();
	}

	// Guards against an event loop that copies and searches one growing event anew for
	// each of its pieces: 260,000 pieces took many seconds.
	@Test
	@Timeout(5)
	void workOfALongEventInSmallPiecesIsLinear() {
		EventStreamSplitter splitter = new EventStreamSplitter();
		byte[] piece = "abcd".getBytes(StandardCharsets.US_ASCII);
		for (int sent = 0; sent < EventStreamSplitter.MAX_EVENT_BYTES; sent += piece.length) {
			splitter.append(Unpooled.wrappedBuffer(piece)).release();
		}
		assertThat(splitter.limitExceeded()).isFalse();
		assertThat(text(splitter.append(bytes("\nid: 3\n\n")))).hasSize(EventStreamSplitter.MAX_EVENT_BYTES + 8);
		assertThat(splitter.lastId()).contains("3");
	}

	@Test
	void endlessEventExceedsTheLimit() {
		EventStreamSplitter splitter = new EventStreamSplitter();
		splitter.append(Unpooled.wrappedBuffer(new byte[EventStreamSplitter.MAX_EVENT_BYTES + 1])).release();
		assertThat(splitter.limitExceeded()).isTrue();
	}

	private static ByteBuf bytes(String text) {
		return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
	}

	private static String text(ByteBuf bytes) {
		String text = bytes.toString(StandardCharsets.US_ASCII);
		bytes.release();
		return text;
	}

}
