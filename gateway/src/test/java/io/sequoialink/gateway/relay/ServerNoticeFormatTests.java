package io.sequoialink.gateway.relay;

import java.io.IOException;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;

import io.sequoialink.decision.observation.ServerNotice;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class ServerNoticeFormatTests {

	private static final long NOW = 1_000_000_000_000L;

	private static final long MILLI = 1_000_000L;

	private static ServerNotice full() {
		return new ServerNotice(NOW - 70 * MILLI, NOW + 2500 * MILLI);
	}

	@Test
	void decodedNoticeIsSlightlyOlderThanTheEncodedOne() throws IOException {
		ServerNotice read = ServerNoticeFormat.read(ServerNoticeFormat.write(Map.of(-5L, full()), NOW), NOW).get(-5L);
		assertThat(read).isEqualTo(new ServerNotice(NOW - 71 * MILLI, NOW + 2500 * MILLI));
	}

	@Test
	void datagramNeverExceedsTheMaximumSize() throws IOException {
		Map<Long, ServerNotice> many = new HashMap<>();
		for (long server = 0; server < 500; server++) {
			many.put(server, full());
		}
		byte[] datagram = ServerNoticeFormat.write(many, NOW);
		assertThat(datagram).hasSizeLessThanOrEqualTo(BatchFormat.MAX_DATAGRAM_BYTES);
		assertThat(ServerNoticeFormat.read(datagram, NOW)).hasSizeGreaterThan(70);
	}

	@Test
	void numbersOutOfRangeAreClamped() throws IOException {
		ServerNotice odd = new ServerNotice(NOW - 1_000_000 * MILLI, Long.MAX_VALUE);
		ServerNotice read = ServerNoticeFormat.read(ServerNoticeFormat.write(Map.of(1L, odd), NOW), NOW).get(1L);
		assertThat(read.shutdownAtNanos()).isEqualTo(NOW - 65_535 * MILLI);
		assertThat(read.backoffUntilNanos()).isEqualTo(NOW + Integer.MAX_VALUE * MILLI);
	}

	@ParameterizedTest
	@ValueSource(ints = { 0, 2, 9, 11, 14 })
	void truncatedDatagramIsRejected(int bytes) {
		byte[] whole = ServerNoticeFormat.write(Map.of(1L, full()), NOW);
		byte[] truncated = Arrays.copyOf(whole, bytes);
		assertThatExceptionOfType(IOException.class).isThrownBy(() -> ServerNoticeFormat.read(truncated, NOW));
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void randomBytesAreDecodedOrRejectedAndNeverYieldAFutureTime(long seed) {
		Random random = new Random(seed);
		for (int i = 0; i < 4000; i++) {
			byte[] noise = new byte[random.nextInt(200)];
			random.nextBytes(noise);
			if (noise.length > 0) {
				noise[0] = ServerNoticeFormat.VERSION;
			}
			try {
				assertThat(ServerNoticeFormat.read(noise, NOW).values())
					.allMatch((read) -> read.shutdownAtNanos() <= NOW);
			}
			catch (IOException ex) {
				assertThat(ex).hasMessageMatching("torn|unsupported version");
			}
		}
	}

}
