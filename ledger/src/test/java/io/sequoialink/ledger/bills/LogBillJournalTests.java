package io.sequoialink.ledger.bills;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;

import io.sequoialink.ledger.BillJournal.Safety;
import io.sequoialink.model.AccountId;
import io.sequoialink.model.Bill;
import io.sequoialink.model.HostId;
import io.sequoialink.model.RequestId;
import io.sequoialink.remote.AppendUnknownException;
import io.sequoialink.remote.LogRecord;
import io.sequoialink.remote.LogStream;
import io.sequoialink.remote.LogUnavailableException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LogBillJournalTests {

	private final Map<HostId, LogBillJournal> journals = new HashMap<>();

	private final Set<HostId> gone = new HashSet<>();

	private final FaultyStream stream = new FaultyStream();

	private long nowMillis;

	@BeforeEach
	void start() {
		for (String host : List.of("one", "two")) {
			HostId id = new HostId(host);
			this.journals.put(id, new LogBillJournal(this.stream, new LinkedPeers(id), BillSettings.DEFAULT,
					() -> this.nowMillis * 1_000_000));
		}
	}

	@Test
	void billIsCopiedAtOnceAndAppendedInABatch() {
		LogBillJournal one = journal("one");
		for (int i = 0; i < 50; i++) {
			assertThat(one.record(bill(i), Duration.ofSeconds(1))).isEqualTo(Safety.COPIED);
		}
		one.appendIfDue();
		assertThat(this.stream.appends).isEqualTo(1);
		assertThat(folded()).isEqualTo(50);
		assertThat(journal("two").held()).isZero();
	}

	@Test
	void copiesOfAKilledHostAreAppendedByTheirHolder() {
		journal("one").record(bill(1), Duration.ofSeconds(1));
		this.journals.remove(new HostId("one"));
		journal("two").appendIfDue();
		assertThat(folded()).isZero();
		this.gone.add(new HostId("one"));
		this.nowMillis += 100;
		journal("two").appendIfDue();
		assertThat(folded()).isEqualTo(1);
		assertThat(journal("two").held()).isZero();
	}

	@Test
	void billWithoutPeersAndLogStaysLocalUntilTheLogReturns() {
		this.journals.remove(new HostId("two"));
		this.stream.down = true;
		LogBillJournal one = journal("one");
		assertThat(one.record(bill(1), Duration.ofMillis(20))).isEqualTo(Safety.LOCAL);
		assertThat(one.flush(Duration.ofMillis(20))).isEqualTo(1);
		this.stream.down = false;
		assertThat(one.flush(Duration.ofMillis(20))).isZero();
		assertThat(folded()).isEqualTo(1);
	}

	@Test
	void lostAppendAnswerRepeatsRecordsThatTheFoldDrops() {
		LogBillJournal one = journal("one");
		one.record(bill(1), Duration.ofSeconds(1));
		this.stream.loseAnswer = true;
		one.appendIfDue();
		this.stream.loseAnswer = false;
		this.nowMillis += 100;
		one.appendIfDue();
		assertThat(this.stream.records).hasSize(2);
		assertThat(folded()).isEqualTo(1);
	}

	@Test
	void anHourWithoutTheLogKeepsEveryBillAndFewCalls() {
		this.stream.down = true;
		LogBillJournal one = journal("one");
		for (int second = 0; second < 3600; second++) {
			for (int i = 0; i < 13; i++) {
				one.record(bill(second * 13 + i), Duration.ofSeconds(1));
			}
			this.nowMillis += 1000;
			one.appendIfDue();
		}
		assertThat(one.accepting()).isTrue();
		assertThat(this.stream.calls).isLessThan(800);
		this.stream.down = false;
		assertThat(one.flush(Duration.ofSeconds(10))).isZero();
		assertThat(folded()).isEqualTo(3600 * 13);
		assertThat(journal("two").held()).isZero();
	}

	@Test
	void malformedMessageIsIgnored() {
		journal("one").receive(new HostId("two"), new byte[] { -1, -1, -1 });
		assertThat(journal("one").held()).isZero();
	}

	@Test
	void startedJournalAppendsByItself() throws Exception {
		ScheduledExecutorService executor = new ScheduledThreadPoolExecutor(2);
		try {
			journal("one").start(executor);
			journal("one").record(bill(1), Duration.ofSeconds(1));
			for (int i = 0; i < 500 && journal("one").held() > 0; i++) {
				Thread.sleep(10);
			}
			assertThat(folded()).isEqualTo(1);
		}
		finally {
			executor.shutdownNow();
		}
	}

	private LogBillJournal journal(String host) {
		return this.journals.get(new HostId(host));
	}

	private int folded() {
		BillFold fold = new BillFold(BillFold.DEFAULT_WINDOW);
		this.stream.records.forEach(fold::fold);
		return fold.remembered();
	}

	private static Bill bill(int number) {
		return new Bill(new RequestId("r" + number), new AccountId("acme"), "v1", 10, 5, 1_700_000_000_000L);
	}

	private final class LinkedPeers implements BillPeers {

		private final HostId self;

		private LinkedPeers(HostId self) {
			this.self = self;
		}

		@Override
		public Process self() {
			return new Process(this.self, 1);
		}

		@Override
		public List<Process> holders() {
			return LogBillJournalTests.this.journals.keySet()
				.stream()
				.filter((host) -> !host.equals(this.self))
				.map((host) -> new Process(host, 1))
				.toList();
		}

		@Override
		public boolean present(Process process) {
			return !LogBillJournalTests.this.gone.contains(process.host());
		}

		@Override
		public int fleetSize() {
			return 2;
		}

		@Override
		public void send(HostId receiver, byte[] message) {
			LogBillJournal journal = LogBillJournalTests.this.journals.get(receiver);
			if (journal != null) {
				journal.receive(this.self, message);
			}
		}

	}

	private static final class FaultyStream implements LogStream {

		private final List<LogRecord> records = new ArrayList<>();

		private boolean down;

		private boolean loseAnswer;

		private int appends;

		private int calls;

		@Override
		public synchronized long append(List<byte[]> payloads) throws LogUnavailableException, AppendUnknownException {
			this.calls++;
			if (this.down) {
				throw new LogUnavailableException("down");
			}
			this.appends++;
			payloads.forEach((payload) -> this.records.add(new LogRecord(this.records.size(), 0, payload)));
			if (this.loseAnswer) {
				throw new AppendUnknownException("no answer");
			}
			return this.records.size() - payloads.size();
		}

		@Override
		public List<LogRecord> read(long fromOffset, int maxRecords) {
			return List.copyOf(this.records);
		}

		@Override
		public Bounds bounds() {
			return new Bounds(0, this.records.size());
		}

	}

}
