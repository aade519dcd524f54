package io.sequoialink.remote;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import io.sequoialink.model.AccountId;
import io.sequoialink.model.ClassId;
import io.sequoialink.model.RequestId;
import io.sequoialink.model.VersionId;
import io.sequoialink.remote.EngineClient.EngineRequest;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.netty.BufferAllocators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests of {@link TokenOrder} and {@link LineReader}.
 */
class TokenOrderTests {

	private static final int ATTEMPT = 2;

	@Property(tries = 500, seed = "1")
	void anyDisorderGivesTheWholeAnswerInOrderOrNoWholeAnswer(@ForAll @IntRange(max = 60) int tokens,
			@ForAll @IntRange(max = 59) int resumeAt, @ForAll @IntRange(max = 3) int lost, @ForAll long seed)
			throws Exception {
		int first = Math.min(resumeAt, tokens);
		Random random = new Random(seed);
		List<TokenEvent> events = new ArrayList<>();
		for (int number = first; number < tokens; number++) {
			events.add(TokenEvent.token("r1", ATTEMPT, number, "w" + number));
			if (random.nextInt(3) == 0) {
				events.add(TokenEvent.token("r1", ATTEMPT, number, "w" + number));
				events.add(TokenEvent.token("r2", ATTEMPT, number, "foreign"));
				events.add(TokenEvent.token("r1", ATTEMPT - 1, number, "late"));
			}
		}
		events.add(end(tokens));
		Collections.shuffle(events, random);
		events.subList(0, Math.min(lost, events.size())).clear();
		List<String> delivered = new ArrayList<>();
		TokenOrder order = new TokenOrder(request(first), (number, text) -> delivered.add(text));
		for (TokenEvent event : events) {
			order.accept(event);
		}
		List<String> expected = new ArrayList<>();
		for (int number = first; number < first + delivered.size(); number++) {
			expected.add("w" + number);
		}
		assertThat(delivered).isEqualTo(expected);
		assertThat(order.whole())
			.isEqualTo(delivered.size() == tokens - first && events.stream().anyMatch(TokenEvent::end));
	}

	@Property(tries = 50, seed = "1")
	void answerWithAGapHoldsBackABoundedNumber(@ForAll @IntRange(min = 1, max = 1000) int first) {
		TokenOrder order = new TokenOrder(request(0), (number, text) -> {
		});
		assertThatExceptionOfType(BackendException.class).isThrownBy(() -> {
			for (int number = first; number < first + TokenOrder.MAX_HELD + 1; number++) {
				order.accept(TokenEvent.token("r1", ATTEMPT, number, "w"));
			}
		}).satisfies((ex) -> assertThat(ex.kind()).isEqualTo(BackendException.Kind.INVALID));
	}

	@Property(tries = 200, seed = "1")
	void linesAreTheSameHoweverTheBodyIsCut(@ForAll List<@IntRange(max = 20) Integer> lengths,
			@ForAll @IntRange(min = 1, max = 7) int chunk) throws BackendException {
		StringBuilder body = new StringBuilder();
		lengths.forEach((length) -> body.append("x".repeat(length)).append('\n'));
		byte[] bytes = (body + "cut short").getBytes(StandardCharsets.UTF_8);
		List<Buffer> buffers = new ArrayList<>();
		for (int at = 0; at < bytes.length; at += chunk) {
			buffers.add(BufferAllocators.DEFAULT_ALLOCATOR.wrap(bytes, at, Math.min(chunk, bytes.length - at)));
		}
		LineReader reader = new LineReader(buffers.iterator(), 20);
		List<Integer> read = new ArrayList<>();
		for (byte[] line = reader.next(); line != null; line = reader.next()) {
			read.add(line.length);
		}
		assertThat(read).isEqualTo(lengths);
	}

	private static EngineRequest request(int resumeAt) {
		return new EngineRequest(new RequestId("r1"), ATTEMPT, new VersionId("v1"), List.of(), 100, 0,
				Duration.ofSeconds(1), resumeAt, new ClassId("c1"), new AccountId("a1"));
	}

	private static TokenEvent end(int tokens) {
		return new TokenEvent("r1", ATTEMPT, 0, null, true, 0, 0, tokens, "stop");
	}

}
