package io.sequoialink.bench.fleet;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import io.sequoialink.ledger.bills.BillPeers;
import io.sequoialink.ledger.bills.BillSettings;
import io.sequoialink.ledger.bills.LogBillJournal;
import io.sequoialink.model.AccountId;
import io.sequoialink.model.Bill;
import io.sequoialink.model.HostId;
import io.sequoialink.model.RequestId;
import io.sequoialink.remote.LogStream;

/**
 * The bills of one process of a host: its journal, and its peers, which are called within
 * the bench's process. Thread-safe.
 */
final class ChargeBills implements BillPeers {

	private static final Duration PATIENCE = Duration.ofSeconds(1);

	private static final Duration STOP_PATIENCE = Duration.ofSeconds(10);

	private final Process self;

	private final List<ChargeHost> hosts;

	private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(3);

	private final LogBillJournal journal;

	ChargeBills(Process self, List<ChargeHost> hosts, LogStream stream) {
		this.self = self;
		this.hosts = hosts;
		this.journal = new LogBillJournal(stream, this, BillSettings.DEFAULT, System::nanoTime);
		this.journal.start(this.executor);
	}

	void bill(RequestId request) {
		this.journal.record(new Bill(request, new AccountId("magnolia"), "orders", 0, 1, System.currentTimeMillis()),
				PATIENCE);
	}

	// Ends the process with everything that it holds.
	void kill() {
		this.executor.shutdownNow();
	}

	// Appends what is held, then ends the process.
	int stop() {
		int left = this.journal.flush(STOP_PATIENCE);
		this.executor.shutdownNow();
		return left;
	}

	@Override
	public Process self() {
		return this.self;
	}

	@Override
	public List<Process> holders() {
		return this.hosts.stream()
			.map((host) -> host.bills().self())
			.filter((process) -> !process.host().equals(this.self.host()))
			.toList();
	}

	@Override
	public boolean present(Process process) {
		return this.hosts.stream().anyMatch((host) -> host.bills().self().equals(process));
	}

	@Override
	public int fleetSize() {
		return this.hosts.size();
	}

	@Override
	public void send(HostId receiver, byte[] message) {
		for (ChargeHost host : this.hosts) {
			if (host.bills().self().host().equals(receiver)) {
				host.bills().receive(this.self.host(), message);
			}
		}
	}

	private void receive(HostId sender, byte[] message) {
		if (!this.executor.isShutdown()) {
			this.executor.execute(() -> this.journal.receive(sender, message));
		}
	}

}
