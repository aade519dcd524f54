package io.sequoialink.gateway.relay;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

import io.sequoialink.gateway.feed.ForwardedBatch;
import io.sequoialink.gateway.feed.KeyedRecord;
import io.sequoialink.gateway.fleet.StorePosition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class BatchFormatTests {

	private static KeyedRecord record(long offset, int bytes) {
		return new KeyedRecord("key-" + offset, "x".repeat(bytes).getBytes(StandardCharsets.UTF_8),
				new StorePosition(3, offset));
	}

	@Test
	void encodedBatchIsDecodedUnchanged() throws Exception {
		KeyedRecord deleted = new KeyedRecord("gone", new byte[0], new StorePosition(3, 8));
		ForwardedBatch read = new ForwardedBatch("servers", 3, 5, 9, List.of(record(6, 100), deleted), true);
		BatchMessage back = BatchFormat.read(BatchFormat.write(new BatchMessage("h1", read)));
		assertThat(back.host()).isEqualTo("h1");
		assertThat(back.batch()).usingRecursiveComparison().isEqualTo(read);
	}

	@ParameterizedTest
	@ValueSource(ints = { 10, 100, 400, 700 })
	void partsAreConsecutiveAndFitIntoADatagram(int bytes) {
		List<KeyedRecord> records = List.of(record(3, bytes), record(4, bytes), record(7, bytes), record(11, bytes));
		List<ForwardedBatch> parts = BatchFormat.split(new ForwardedBatch("status", 3, 2, 15, records, true));
		long from = 2;
		for (ForwardedBatch part : parts) {
			assertThat(part.from()).isEqualTo(from);
			assertThat(part.complete()).isTrue();
			assertThat(BatchFormat.write(new BatchMessage("host-with-a-long-name", part)))
				.hasSizeLessThanOrEqualTo(BatchFormat.MAX_DATAGRAM_BYTES);
			from = part.next();
		}
		assertThat(from).isEqualTo(15);
		assertThat(parts.stream().flatMap((part) -> part.changedRecords().stream())).containsExactlyElementsOf(records);
	}

	@Test
	void recordThatIsTooLargeYieldsAnIncompletePart() {
		List<KeyedRecord> records = List.of(record(3, 10), record(4, 5000), record(5, 10));
		List<ForwardedBatch> parts = BatchFormat.split(new ForwardedBatch("op", 3, 3, 6, records, true));
		assertThat(parts).extracting(ForwardedBatch::complete).containsExactly(true, false, true);
		assertThat(parts).extracting(ForwardedBatch::next).containsExactly(4L, 5L, 6L);
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "{", "7", "{\"changes\":[[\"a\"]]}", "{\"changes\":[[\"a\",7,1]]}" })
	void malformedDatagramIsRejected(String text) {
		assertThatExceptionOfType(IOException.class)
			.isThrownBy(() -> BatchFormat.read(text.getBytes(StandardCharsets.UTF_8)));
	}

}
