package io.sequoialink.catalogue;

import java.util.List;

import io.sequoialink.platform.AppendUnknownException;
import io.sequoialink.platform.LogRecord;
import io.sequoialink.platform.LogStream;
import io.sequoialink.platform.LogUnavailableException;
import io.sequoialink.platform.TrimmedException;

/**
 * A stream that is out of reach from its first append on. Not thread-safe.
 */
final class CutAfterAppend implements LogStream {

	private final LogStream stream;

	private boolean cut;

	CutAfterAppend(LogStream stream) {
		this.stream = stream;
	}

	@Override
	public long append(List<byte[]> payloads) throws LogUnavailableException, AppendUnknownException {
		check();
		this.cut = true;
		return this.stream.append(payloads);
	}

	@Override
	public List<LogRecord> read(long fromOffset, int maxRecords) throws LogUnavailableException, TrimmedException {
		check();
		return this.stream.read(fromOffset, maxRecords);
	}

	@Override
	public Bounds bounds() throws LogUnavailableException {
		check();
		return this.stream.bounds();
	}

	private void check() throws LogUnavailableException {
		if (this.cut) {
			throw new LogUnavailableException("out of reach");
		}
	}

}
