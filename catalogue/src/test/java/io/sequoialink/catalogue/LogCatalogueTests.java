package io.sequoialink.catalogue;

import java.time.Duration;
import java.util.List;

import io.sequoialink.remote.LogRecord;
import io.sequoialink.remote.LogUnavailableException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class LogCatalogueTests {

	private long nowMillis;

	private final MemoryLogStream log = new MemoryLogStream(() -> this.nowMillis);

	private final LogCatalogue first = host(true);

	private final LogCatalogue second = host(true);

	@Test
	void racingOperatorsGetOneAcceptanceAndOneConflict() throws Exception {
		create("m1");
		this.second.poll();
		assertThat(this.first.apply(Changes.put("a", Changes.version("m1", 2), 0)).kind())
			.isEqualTo(Verdict.Kind.ACCEPTED);
		assertThat(this.second.apply(Changes.put("b", Changes.version("m1", 3), 0)).kind())
			.isEqualTo(Verdict.Kind.CONFLICT);
		this.first.poll();
		assertThat(this.first.history(1)).isEqualTo(this.second.history(1));
		assertThat(List.copyOf(this.first.view().entries())).isEqualTo(List.copyOf(this.second.view().entries()));
	}

	@ParameterizedTest
	@EnumSource(value = MemoryLogStream.AppendFault.class, names = { "ANSWER_LOST", "DROPPED", "DELAYED" })
	void lostAnswerIsSettledByTheChangeId(MemoryLogStream.AppendFault fault) throws Exception {
		this.log.nextAppends(fault);
		Verdict verdict = this.first.apply(Changes.put("a", Changes.version("m1", 2), -1));
		assertThat(verdict.kind()).isEqualTo(Verdict.Kind.ACCEPTED);
		this.log.deliverDelayed();
		this.second.poll();
		assertThat(this.second.view().entries()).hasSize(1);
		assertThat(this.second.view().entries().iterator().next().revision()).isEqualTo(verdict.offset());
	}

	@Test
	void refusedAppendIsReportedAsNotAppended() throws Exception {
		this.log.nextAppends(MemoryLogStream.AppendFault.REFUSED);
		assertThatExceptionOfType(LogUnavailableException.class)
			.isThrownBy(() -> this.first.apply(Changes.put("a", Changes.version("m1", 2), -1)))
			.withMessageContaining("not appended");
		assertThat(this.log.records()).isEmpty();
	}

	@Test
	void unsettledChangeIsReportedAsUnknownAndItsRepetitionAsTheFirstVerdict() throws Exception {
		Change change = Changes.put("a", Changes.version("m1", 2), -1);
		this.log.nextAppends(MemoryLogStream.AppendFault.ANSWER_LOST);
		this.log.cutReadsAfterAppend();
		assertThatExceptionOfType(LogUnavailableException.class).isThrownBy(() -> this.first.apply(change))
			.withMessageContaining("not known");
		this.log.unreadable(false);
		assertThat(this.second.apply(change).explanation()).contains("ACCEPTED");
	}

	@Test
	void ageGrowsWhileTheLogIsDownAndIsCountedFromBeforeTheRead() throws Exception {
		assertThat(this.first.age()).isEqualTo(LogCatalogue.NEVER);
		this.first.poll();
		this.nowMillis += 700;
		this.log.down(true);
		assertThatExceptionOfType(LogUnavailableException.class).isThrownBy(this.first::poll);
		assertThat(this.first.age()).isEqualTo(Duration.ofMillis(700));
	}

	@Test
	void hostCutOffFromTheLogTakesRecordsAndConfirmationFromAPeer() throws Exception {
		create("m1");
		this.second.poll();
		this.nowMillis += 5_000;
		create("m2");
		long asked = this.nowMillis * 1_000_000;
		this.nowMillis += 200;
		PeerTail answer = this.first.recordsSince(this.second.wantedFromPeer(), 100);
		this.nowMillis += 60_000;
		this.second.acceptFromPeer(answer, asked);
		assertThat(this.second.view().entries()).hasSize(2);
		assertThat(this.second.age()).isEqualTo(Duration.ofMillis(60_200 + 200));
	}

	@Test
	void peerThatIsBehindConfirmsNothingNew() throws Exception {
		this.second.poll();
		PeerTail old = this.second.recordsSince(0, 10);
		create("m1");
		this.nowMillis += 1_000;
		this.second.acceptFromPeer(new PeerTail(List.of(), 1, Duration.ZERO), this.nowMillis * 1_000_000);
		assertThat(this.second.age()).isEqualTo(Duration.ofMillis(1_000));
		assertThat(old.next()).isZero();
	}

	@ParameterizedTest
	@CsvSource({ "0, -1", "1, 0" })
	void impossibleConfirmationIsIgnored(long askedNanos, long ageNanos) {
		this.second.acceptFromPeer(new PeerTail(List.of(), 0, Duration.ofNanos(ageNanos)), askedNanos);
		assertThat(this.second.age()).isEqualTo(LogCatalogue.NEVER);
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 100 })
	void emptyHostJoinsFromThePagesOfAPeer(int page) throws Exception {
		for (int i = 0; i < 12; i++) {
			create("m" + i);
			this.first.writeCheckpointIfDue();
		}
		this.log.trim(6);
		this.log.down(true);
		LogCatalogue cold = host(false);
		for (int i = 0; i < 100 && cold.state().next() < this.first.state().next(); i++) {
			cold.acceptFromPeer(this.first.recordsSince(cold.wantedFromPeer(), page), 0);
		}
		assertThat(List.copyOf(cold.view().entries())).isEqualTo(List.copyOf(this.first.view().entries()));
	}

	@Test
	void gapInAPeersRecordsIsNeverSkipped() throws Exception {
		create("m1");
		create("m2");
		List<LogRecord> all = List.copyOf(this.log.records().values());
		this.second.acceptFromPeer(all.subList(1, 2));
		assertThat(this.second.view().revision()).isEqualTo(-1);
	}

	private void create(String id) throws LogUnavailableException {
		assertThat(this.first.apply(Changes.put("create-" + id, Changes.version(id, 1), -1)).kind())
			.isEqualTo(Verdict.Kind.ACCEPTED);
	}

	private LogCatalogue host(boolean writer) {
		return LogCatalogue.builder(this.log)
			.nanos(() -> this.nowMillis * 1_000_000)
			.wallMillis(() -> this.nowMillis)
			.sleeper((nanos) -> this.nowMillis++)
			.checkpointWriter(() -> writer)
			.checkpointChanges(4)
			.build();
	}

}
