package io.sequoialink.bench.slopes;

import java.util.List;

import io.sequoialink.remote.LogRecord;
import io.sequoialink.remote.LogStream;

/**
 * A stream that counts appends and keeps nothing. Thread-safe.
 */
final class CountingStream implements LogStream {

	private long appends;

	private long bytes;

	private long next;

	@Override
	public synchronized long append(List<byte[]> payloads) {
		this.appends++;
		payloads.forEach((payload) -> this.bytes += payload.length);
		this.next += payloads.size();
		return this.next - payloads.size();
	}

	@Override
	public List<LogRecord> read(long fromOffset, int maxRecords) {
		return List.of();
	}

	@Override
	public synchronized Bounds bounds() {
		return new Bounds(this.next, this.next);
	}

	synchronized long appends() {
		return this.appends;
	}

	synchronized long bytes() {
		return this.bytes;
	}

}
