package io.sequoialink.ledger.claims;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.sequoialink.catalogue.MemoryLogStream;
import io.sequoialink.remote.LogUnavailableException;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class GroupAppenderTests {

	private static final int CALLERS = 16;

	private final MemoryLogStream log = new MemoryLogStream();

	private final GroupAppender appender = new GroupAppender(this.log);

	@Test
	void concurrentRecordsAllArriveOnce() throws Exception {
		ExecutorService executor = Executors.newFixedThreadPool(CALLERS);
		List<Future<?>> calls = new ArrayList<>();
		for (int i = 0; i < 50 * CALLERS; i++) {
			byte[] payload = { (byte) (i >> 8), (byte) i };
			calls.add(executor.submit(() -> {
				this.appender.append(payload);
				return null;
			}));
		}
		for (Future<?> call : calls) {
			call.get(10, TimeUnit.SECONDS);
		}
		executor.shutdown();
		assertThat(this.log.taken().stream().map((record) -> List.of(record.payload()[0], record.payload()[1])))
			.hasSize(50 * CALLERS)
			.doesNotHaveDuplicates();
	}

	@Test
	void refusalReachesTheCallerAndTheNextRecordIsTaken() throws Exception {
		this.log.nextAppends(MemoryLogStream.AppendFault.REFUSED);
		assertThatExceptionOfType(LogUnavailableException.class)
			.isThrownBy(() -> this.appender.append(new byte[] { 1 }));
		this.appender.append(new byte[] { 2 });
		assertThat(this.log.taken()).hasSize(1);
	}

}
