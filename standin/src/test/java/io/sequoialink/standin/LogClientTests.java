package io.sequoialink.standin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import io.sequoialink.remote.AppendUnknownException;
import io.sequoialink.remote.HttpClientPool;
import io.sequoialink.remote.HttpPlatformLog;
import io.sequoialink.remote.LogStream;
import io.sequoialink.remote.LogUnavailableException;
import io.sequoialink.remote.PlatformException;
import io.sequoialink.remote.PlatformLog;
import io.sequoialink.remote.TrimmedException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/**
 * Tests how {@link HttpPlatformLog} handles the faults that {@link StandinLog} injects.
 */
class LogClientTests {

	private final AtomicLong clockMillis = new AtomicLong(1000);

	private final StandinLog log = new StandinLog(this.clockMillis::get);

	private final HttpClientPool pool = new HttpClientPool();

	private LogStream stream;

	@BeforeEach
	void startLog() throws IOException {
		this.log.start();
		this.stream = new HttpPlatformLog(this.pool, this.log.address(), Duration.ofMillis(300))
			.stream(PlatformLog.CONFIG);
	}

	@AfterEach
	void stopLog() {
		this.log.close();
		this.pool.close();
	}

	@Test
	void recordsAreReadInTheOrderOfTheirOffsets() throws PlatformException {
		assertThat(this.stream.append(records("a", "b"))).isZero();
		assertThat(this.stream.append(records("c"))).isEqualTo(2);
		assertThat(this.stream.read(1, 10)).extracting((record) -> new String(record.payload(), StandardCharsets.UTF_8))
			.containsExactly("b", "c");
		assertThat(this.stream.read(3, 10)).isEmpty();
		assertThat(this.stream.read(0, 1)).singleElement().satisfies((record) -> {
			assertThat(record.offset()).isZero();
			assertThat(record.atMillis()).isEqualTo(1000);
		});
		assertThat(this.stream.bounds()).isEqualTo(new LogStream.Bounds(0, 3));
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void rejectedAppendStoresNothing(boolean unreachable) throws IOException {
		this.log.setUnavailable(!unreachable);
		if (unreachable) {
			this.log.stop();
		}
		assertThatExceptionOfType(LogUnavailableException.class).isThrownBy(() -> this.stream.append(records("a")));
		assertThatExceptionOfType(LogUnavailableException.class).isThrownBy(() -> this.stream.bounds());
		assertThat(this.log.records(PlatformLog.CONFIG)).isEmpty();
	}

	@Test
	void lostResponseLeavesTheEffectUnknownAndIsNotRetried() throws PlatformException {
		this.log.dropResponses(1);
		assertThatExceptionOfType(AppendUnknownException.class).isThrownBy(() -> this.stream.append(records("a")));
		assertThat(this.stream.read(0, 10)).hasSize(1);
		assertThat(this.stream.append(records("b"))).isEqualTo(1);
	}

	@Test
	void timedOutAppendLeavesTheEffectUnknown() {
		this.log.setDelay(2000);
		assertThatExceptionOfType(AppendUnknownException.class).isThrownBy(() -> this.stream.append(records("a")));
		assertThatExceptionOfType(LogUnavailableException.class).isThrownBy(() -> this.stream.read(0, 1));
	}

	@Test
	void oversizedAppendIsRejected() {
		List<byte[]> oversized = List.of(new byte[StandinLog.MAX_APPEND_BYTES + 1]);
		assertThatExceptionOfType(LogUnavailableException.class).isThrownBy(() -> this.stream.append(oversized));
	}

	@ParameterizedTest
	@ValueSource(strings = { "count", "age" })
	void readOfTrimmedRecordsReportsTheOldestOffset(String retention) throws PlatformException {
		this.stream.append(records("a", "b"));
		this.clockMillis.addAndGet(100);
		this.stream.append(records("c"));
		this.log.setRetention("count".equals(retention) ? 1 : 100, "age".equals(retention) ? 50 : 1_000_000);
		TrimmedException trimmed = catchThrowableOfType(TrimmedException.class, () -> this.stream.read(1, 10));
		assertThat(trimmed.first()).isEqualTo(2);
		assertThat(this.stream.bounds()).isEqualTo(new LogStream.Bounds(2, 3));
		assertThat(this.stream.read(2, 10)).hasSize(1);
	}

	private static List<byte[]> records(String... texts) {
		return List.of(texts).stream().map((text) -> text.getBytes(StandardCharsets.UTF_8)).toList();
	}

}
