package io.sequoialink.soak;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.UnaryOperator;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * The soak's servers break their answers, and its clients see what is no response.
 */
class BrokenAnswersTests {

	private static final String WHOLE = "HTTP/1.1 200 X\r\n" + HeaderNames.REQUEST_ID + ": q1\r\n"
			+ HeaderNames.SERVER_SEAL + ": i-1.1\r\nContent-Length: 12\r\n\r\nanswer to q1";

	private static void read(String text) throws IOException {
		ByteArrayInputStream in = new ByteArrayInputStream(text.getBytes(StandardCharsets.US_ASCII));
		HttpMessages.Head head = HttpMessages.readHead(in).orElseThrow();
		if (head.chunked()) {
			HttpMessages.readChunk(in);
		}
		else {
			HttpMessages.readBody(in, head);
		}
	}

	// Guards against a way that leaves the answer as it is.
	@Test
	void eachWayBreaksAWholeAnswerDifferently() {
		List<String> broken = BrokenAnswers.WAYS.stream().map((UnaryOperator<String> way) -> way.apply(WHOLE)).toList();
		assertThat(broken).doesNotHaveDuplicates().doesNotContain(WHOLE).hasSize(16);
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 X", "HTTP/1.1 600 X", "HTTP/1.1 0200 X", "HTTP/2.0 200 X",
			"HTTP/1.1 200 X\r\nx y: 1", "HTTP/1.1 200 X\r\nx : 1", "HTTP/1.1 200 X\r\nx: 1\r\n 2",
			"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2 2" })
	void whatIsNoResponseIsSeen(String head) {
		assertThatThrownBy(() -> read(head + "\r\nContent-Length: 2\r\n\r\n{}"))
			.isInstanceOf(HttpMessages.MalformedException.class);
	}

	@Test
	void wholeAnswerIsRead() throws IOException {
		read(WHOLE);
	}

}
