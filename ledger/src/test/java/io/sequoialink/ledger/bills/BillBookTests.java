package io.sequoialink.ledger.bills;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import io.sequoialink.ledger.BillJournal.Safety;
import io.sequoialink.ledger.bills.BillPeers.Process;
import io.sequoialink.ledger.bills.CopyHolders.Candidate;
import io.sequoialink.model.AccountId;
import io.sequoialink.model.Bill;
import io.sequoialink.model.HostId;
import io.sequoialink.model.Json;
import io.sequoialink.model.RequestId;
import io.sequoialink.remote.LogRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class BillBookTests {

	private static final Process ONE = new Process(new HostId("one"), 1);

	private static final Process TWO = new Process(new HostId("two"), 1);

	private static final Process THREE = new Process(new HostId("three"), 1);

	@Test
	void noBillIsLostAndNoneCountedTwiceUnderFaults() throws Exception {
		long answered = 0;
		long repeated = 0;
		for (int seed = 0; seed < 2000; seed++) {
			BillExplorer.Result result = new BillExplorer(seed, false).run(400);
			assertThat(result.lost()).as("lost with seed %d", seed).isZero();
			assertThat(result.twice()).as("counted twice with seed %d", seed).isZero();
			answered += result.answered();
			repeated += result.repeated();
		}
		assertThat(answered).isGreaterThan(100_000);
		assertThat(repeated).isGreaterThan(1000);
	}

	@Test
	void billsKeyedByAttemptAreCaught() throws Exception {
		long twice = 0;
		for (int seed = 0; seed < 300; seed++) {
			twice += new BillExplorer(seed, true).run(400).twice();
		}
		assertThat(twice).isPositive();
	}

	@Test
	void copyMovesToAnotherHolderWhenTheFirstIsGivenUpOrSilent() throws Exception {
		BillBook book = new BillBook(ONE, BillSettings.DEFAULT);
		long number = book.add(new byte[] { 1 });
		assertThat(book.offer(List.of(TWO, THREE), 0).orElseThrow().receiver()).isEqualTo(TWO.host());
		assertThat(book.offer(List.of(TWO, THREE), 100)).isEmpty();
		BillBook.Message again = book.offer(List.of(TWO, THREE), 600).orElseThrow();
		assertThat(again.receiver()).isEqualTo(THREE.host());
		BillBook holder = new BillBook(THREE, BillSettings.DEFAULT);
		book.receive(THREE.host(),
				holder.receive(ONE.host(), again.body().toByteArray()).orElseThrow().body().toByteArray());
		assertThat(book.safety(number)).isEqualTo(Safety.COPIED);
		assertThat(book.offer(List.of(TWO), 700).orElseThrow().receiver()).isEqualTo(TWO.host());
		assertThat(book.safety(number)).isEqualTo(Safety.LOCAL);
	}

	@Test
	void holderAppendsOnlyCopiesOfHostsThatWereGivenUp() throws Exception {
		BillBook holder = holderWithCopy();
		assertThat(holder.nextBatch((process) -> true).payloads()).isEmpty();
		BillBook.Batch batch = holder.nextBatch((process) -> !process.equals(ONE));
		assertThat(batch.payloads()).hasSize(1);
		holder.logged(batch);
		assertThat(holder.copyCount()).isZero();
	}

	@Test
	void boundStopsNewWorkAndRefusesCopiesButDropsNoBill() throws Exception {
		BillSettings settings = new BillSettings(100, Duration.ofMillis(100), Duration.ofMillis(500), 3, 1000);
		BillBook book = new BillBook(ONE, settings);
		BillBook holder = new BillBook(TWO, settings);
		for (int i = 0; i < 5; i++) {
			assertThat(book.accepting()).isEqualTo(i < 3);
			book.add(new byte[] { 1 });
		}
		byte[] offer = book.offer(List.of(TWO), 0).orElseThrow().body().toByteArray();
		assertThat(holder.receive(ONE.host(), offer).orElseThrow().body().getHeldCount()).isEqualTo(3);
		assertThat(holder.copyCount()).isEqualTo(3);
		assertThat(book.ownCount()).isEqualTo(5);
		book.logged(book.nextBatch((process) -> true));
		assertThat(book.accepting()).isTrue();
	}

	@ParameterizedTest
	@CsvSource({ "1, 100", "8, 100", "10, 100", "330, 3300" })
	void fleetKeepsItsBudgetOfAppends(int hosts, long intervalMillis) {
		assertThat(BillSettings.DEFAULT.appendIntervalMillis(hosts)).isEqualTo(intervalMillis);
	}

	@Test
	void holdersOfOtherZonesComeFirstAndAreSpread() {
		List<Candidate> fleet = IntStream.range(0, 40)
			.mapToObj((i) -> new Candidate(new Process(new HostId("host-" + i), 1), "zone-" + i % 4))
			.toList();
		long distinct = fleet.stream()
			.map((one) -> CopyHolders.rank(one.process(), one.zone(), fleet))
			.map((ranked) -> ranked.get(0))
			.distinct()
			.count();
		assertThat(distinct).isGreaterThan(15);
		assertThat(fleet)
			.allSatisfy((one) -> assertThat(CopyHolders.rank(one.process(), one.zone(), fleet).subList(0, 30))
				.noneMatch((holder) -> zoneOf(fleet, holder).equals(one.zone())));
	}

	@Test
	void foldForgetsWhatIsOlderThanItsWindowAndSaysSo() {
		BillFold fold = new BillFold(Duration.ofMinutes(10));
		assertThat(fold.fold(record("r1", 0)).verdict()).isEqualTo(BillFold.Verdict.COUNTED);
		assertThat(fold.fold(record("r1", 60_000)).verdict()).isEqualTo(BillFold.Verdict.REPEATED);
		assertThat(fold.fold(record("r2", 3_600_000)).counted()).isPresent();
		assertThat(fold.fold(record("r1", 0)).verdict()).isEqualTo(BillFold.Verdict.TOO_OLD);
		assertThat(fold.remembered()).isEqualTo(1);
		assertThat(fold.fold(new LogRecord(9, 0, new byte[] { 1, 2 })).verdict()).isEqualTo(BillFold.Verdict.MALFORMED);
	}

	private static BillBook holderWithCopy() throws Exception {
		BillBook origin = new BillBook(ONE, BillSettings.DEFAULT);
		origin.add(new byte[] { 1 });
		Optional<BillBook.Message> offer = origin.offer(List.of(TWO), 0);
		BillBook holder = new BillBook(TWO, BillSettings.DEFAULT);
		holder.receive(ONE.host(), offer.orElseThrow().body().toByteArray());
		return holder;
	}

	private static LogRecord record(String request, long atMillis) {
		Bill bill = new Bill(new RequestId(request), new AccountId("acme"), "v1", 10, 5, atMillis);
		return new LogRecord(0, 0, Json.write(bill).getBytes(StandardCharsets.UTF_8));
	}

	private static String zoneOf(List<Candidate> fleet, Process process) {
		return fleet.stream().filter((one) -> one.process().equals(process)).findFirst().orElseThrow().zone();
	}

}
