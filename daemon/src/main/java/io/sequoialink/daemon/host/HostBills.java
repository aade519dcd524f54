package io.sequoialink.daemon.host;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.sequoialink.ledger.bills.BillFold;
import io.sequoialink.ledger.bills.BillPeers;
import io.sequoialink.ledger.bills.BillSettings;
import io.sequoialink.ledger.bills.CopyHolders;
import io.sequoialink.ledger.bills.LogBillJournal;
import io.sequoialink.membership.Member;
import io.sequoialink.membership.Peers;
import io.sequoialink.model.Bill;
import io.sequoialink.model.HostId;
import io.sequoialink.remote.LogRecord;
import io.sequoialink.remote.LogStream;
import io.sequoialink.remote.LogUnavailableException;
import io.sequoialink.remote.TrimmedException;

/**
 * Ties the bill journal to the peers, and reads the stream of bills for operators.
 * Thread-safe.
 */
public final class HostBills implements BillPeers {

	/** The topic of messages about copies of bills. */
	public static final String TOPIC = "bills";

	private static final int READ_RECORDS = 1_000;

	private static final int MOST_BILLS = 10_000;

	private final Peers peers;

	private final LogStream stream;

	private final LogBillJournal journal;

	/**
	 * Creates the journal of a host; the owner starts it.
	 * @param peers the other hosts
	 * @param stream the stream of bills
	 */
	public HostBills(Peers peers, LogStream stream) {
		this.peers = peers;
		this.stream = stream;
		this.journal = new LogBillJournal(stream, this, BillSettings.DEFAULT, System::nanoTime);
		peers.subscribe(TOPIC, (message) -> this.journal.receive(message.sender().host(), message.payload()));
	}

	/**
	 * Returns the journal.
	 * @return the journal
	 */
	public LogBillJournal journal() {
		return this.journal;
	}

	@Override
	public Process self() {
		return process(this.peers.self());
	}

	@Override
	public List<Process> holders() {
		List<CopyHolders.Candidate> candidates = this.peers.members()
			.stream()
			.filter((member) -> member.state() == Member.State.ALIVE && !member.host().equals(self().host()))
			.map((member) -> new CopyHolders.Candidate(process(member), member.zone()))
			.toList();
		return CopyHolders.rank(self(), this.peers.self().zone(), candidates);
	}

	@Override
	public boolean present(Process process) {
		return this.peers.members().stream().anyMatch((member) -> process(member).equals(process));
	}

	@Override
	public int fleetSize() {
		return Math.max(1, this.peers.members().size());
	}

	@Override
	public void send(HostId receiver, byte[] message) {
		Optional<Member> member = this.peers.members()
			.stream()
			.filter((known) -> known.host().equals(receiver))
			.findFirst();
		member.ifPresent((known) -> this.peers.send(TOPIC, message, List.of(known)));
	}

	private static Process process(Member member) {
		return new Process(member.host(), member.incarnation());
	}

	/**
	 * Reads and folds the stream of bills.
	 * @param from the first offset
	 * @return bills that count, and the offset to go on from
	 * @throws LogUnavailableException if the log can't be read
	 */
	Page fold(long from) throws LogUnavailableException {
		BillFold fold = new BillFold(BillFold.DEFAULT_WINDOW);
		List<Bill> bills = new ArrayList<>();
		long next = Math.max(from, this.stream.bounds().first());
		while (bills.size() < MOST_BILLS) {
			List<LogRecord> records = read(next);
			if (records.isEmpty()) {
				break;
			}
			for (LogRecord record : records) {
				fold.fold(record).counted().ifPresent(bills::add);
				next = record.offset() + 1;
			}
		}
		return new Page(bills, next);
	}

	private List<LogRecord> read(long from) throws LogUnavailableException {
		try {
			return this.stream.read(from, READ_RECORDS);
		}
		catch (TrimmedException ex) {
			throw new LogUnavailableException("bills were trimmed while they were read; begin at offset " + ex.first(),
					ex);
		}
	}

	/**
	 * Bills with the offset to go on from. Immutable and thread-safe.
	 *
	 * @param bills the bills, each request once
	 * @param next the first offset that was not read
	 */
	record Page(List<Bill> bills, long next) {

		Page {
			bills = List.copyOf(bills);
		}

	}

}
