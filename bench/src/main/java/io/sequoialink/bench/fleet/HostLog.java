package io.sequoialink.bench.fleet;

import java.util.List;
import java.util.concurrent.atomic.LongAdder;

import io.sequoialink.remote.AppendUnknownException;
import io.sequoialink.remote.LogRecord;
import io.sequoialink.remote.LogStream;
import io.sequoialink.remote.LogUnavailableException;
import io.sequoialink.remote.TrimmedException;

/**
 * One host's way to a stream: it can be cut off, and its payload bytes are counted.
 * Thread-safe.
 */
final class HostLog implements LogStream {

	private final LogStream stream;

	private final LongAdder bytes = new LongAdder();

	private volatile boolean cut;

	HostLog(LogStream stream) {
		this.stream = stream;
	}

	void cut(boolean newCut) {
		this.cut = newCut;
	}

	long bytes() {
		return this.bytes.sum();
	}

	@Override
	public long append(List<byte[]> payloads) throws LogUnavailableException, AppendUnknownException {
		check();
		payloads.forEach((payload) -> this.bytes.add(payload.length));
		return this.stream.append(payloads);
	}

	@Override
	public List<LogRecord> read(long fromOffset, int maxRecords) throws LogUnavailableException, TrimmedException {
		check();
		List<LogRecord> records = this.stream.read(fromOffset, maxRecords);
		records.forEach((record) -> this.bytes.add(record.payload().length));
		return records;
	}

	@Override
	public Bounds bounds() throws LogUnavailableException {
		check();
		return this.stream.bounds();
	}

	private void check() throws LogUnavailableException {
		if (this.cut) {
			throw new LogUnavailableException("this host is cut off from the log");
		}
	}

}
