package io.sequoialink.gateway.permit;

import java.io.IOException;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;

import io.sequoialink.decision.limits.ColdNotice;
import io.sequoialink.decision.limits.LimitObservation;
import io.sequoialink.decision.limits.PermitDecision;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class PermitFormatTests {

	private static final long MILLI = 1_000_000L;

	private static final long NOW = 500_000 * MILLI;

	private static final LimitObservation LIMIT = new LimitObservation(1.1, NOW - 30 * MILLI);

	static Stream<PermitMessage> messages() {
		return Stream.of(new PermitMessage.Ask("edge-a", -7, Long.MIN_VALUE, 3, LIMIT, 330 * MILLI),
				new PermitMessage.Ask("edge-a", 7, 5, 0, new LimitObservation(LimitObservation.UNLIMITED, NOW), 0,
						Optional.of(new ColdNotice(12, 4500 * MILLI))),
				new PermitMessage.Answer("edge-b", 7, new PermitDecision(true, 20 * MILLI, 900 * MILLI)),
				new PermitMessage.Limits("",
						Map.of(5L, LIMIT, 6L, new LimitObservation(LimitObservation.UNLIMITED, NOW))),
				new PermitMessage.Query("edge-c"));
	}

	@ParameterizedTest
	@MethodSource("messages")
	void messageIsReadAsItWasWritten(PermitMessage message) throws IOException {
		assertThat(PermitFormat.read(PermitFormat.write(message, NOW), NOW)).isEqualTo(message);
	}

	// Rounded up, so that an observation does not look younger on its way.
	@Test
	void timesAreRoundedUp() throws IOException {
		PermitMessage.Answer answer = new PermitMessage.Answer("h", 1, new PermitDecision(true, 1, MILLI + 1));
		assertThat(PermitFormat.read(PermitFormat.write(answer, NOW), NOW))
			.isEqualTo(new PermitMessage.Answer("h", 1, new PermitDecision(true, MILLI, 2 * MILLI)));
	}

	@Test
	void datagramsAreBounded() {
		Map<Long, LimitObservation> many = new HashMap<>();
		for (long server = 0; server < 500; server++) {
			many.put(server, LIMIT);
		}
		assertThat(PermitFormat.write(new PermitMessage.Limits("x".repeat(255), many), NOW))
			.hasSizeLessThanOrEqualTo(PermitFormat.MAX_DATAGRAM_BYTES);
	}

	@ParameterizedTest
	@MethodSource("messages")
	void damagedDatagramsAreRefusedOrRead(PermitMessage message) {
		Random random = new Random(3);
		byte[] whole = PermitFormat.write(message, NOW);
		for (int i = 0; i < 2000; i++) {
			byte[] damaged = Arrays.copyOf(whole, random.nextInt(whole.length + 4));
			for (int changes = random.nextInt(4); changes > 0 && damaged.length > 0; changes--) {
				damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
			}
			try {
				assertThat(PermitFormat.read(damaged, NOW)).isNotNull();
			}
			catch (IOException ex) {
				assertThat(ex.getMessage()).isNotBlank();
			}
		}
	}

	@Test
	void rateThatIsNoNumberIsRefused() {
		for (double rate : new double[] { Double.NaN, -1, Double.NEGATIVE_INFINITY }) {
			byte[] datagram = PermitFormat
				.write(new PermitMessage.Limits("h", Map.of(1L, new LimitObservation(rate, NOW))), NOW);
			assertThatThrownBy(() -> PermitFormat.read(datagram, NOW)).isInstanceOf(IOException.class);
		}
	}

}
