package io.sequoialink.daemon.host;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

import io.sequoialink.ledger.BillJournal;
import io.sequoialink.model.Bill;
import io.sequoialink.model.Json;
import io.sequoialink.model.RequestId;
import io.sequoialink.platform.LogRecord;
import io.sequoialink.platform.LogStream;
import io.sequoialink.platform.LogUnavailableException;
import io.sequoialink.platform.PlatformException;

/**
 * Appends each bill before its answer ends, and keeps what the log refuses. Thread-safe.
 */
final class HostBills implements BillJournal {

	private static final int READ_RECORDS = 1000;

	private final LogStream stream;

	private final Queue<Bill> held = new ConcurrentLinkedQueue<>();

	HostBills(LogStream stream) {
		this.stream = stream;
	}

	BillJournal journal() {
		return this;
	}

	@Override
	public Safety record(Bill bill, Duration patience) {
		this.held.add(bill);
		turn();
		return this.held.contains(bill) ? Safety.LOCAL : Safety.LOGGED;
	}

	synchronized void turn() {
		List<Bill> bills = new ArrayList<>(this.held);
		if (bills.isEmpty()) {
			return;
		}
		try {
			this.stream
				.append(bills.stream().map((bill) -> Json.write(bill).getBytes(StandardCharsets.UTF_8)).toList());
			this.held.removeAll(bills);
		}
		catch (PlatformException ex) {
			// kept for the next turn; a repeated bill is dropped by the consumer's fold
		}
	}

	@Override
	public int flush(Duration patience) {
		turn();
		return this.held.size();
	}

	Object fold(long from) throws LogUnavailableException {
		Map<RequestId, Bill> bills = new LinkedHashMap<>();
		try {
			List<LogRecord> records = this.stream.read(from, READ_RECORDS);
			for (LogRecord record : records) {
				Bill bill = Json.mapper().readValue(record.payload(), Bill.class);
				bills.putIfAbsent(bill.request(), bill);
			}
		}
		catch (LogUnavailableException ex) {
			throw ex;
		}
		catch (PlatformException | IOException ex) {
			throw new LogUnavailableException("the bills can't be read: " + ex.getMessage(), ex);
		}
		return List.copyOf(bills.values());
	}

}
