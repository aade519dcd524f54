package io.sequoialink.catalogue;

import java.util.List;
import java.util.Random;

import io.sequoialink.remote.AppendUnknownException;
import io.sequoialink.remote.LogRecord;
import io.sequoialink.remote.LogStream;
import io.sequoialink.remote.LogUnavailableException;
import io.sequoialink.remote.TrimmedException;

/**
 * A host's way to a log in memory: other tasks may run before and after each call, and a
 * share of the appends meets a fault.
 */
public final class SteppedLogStream implements LogStream {

	private static final int FAULT_PERCENT = 35;

	private final MemoryLogStream log;

	private final Interleaver interleaver;

	private final Random random;

	public SteppedLogStream(MemoryLogStream log, Interleaver interleaver, Random random) {
		this.log = log;
		this.interleaver = interleaver;
		this.random = random;
	}

	@Override
	public long append(List<byte[]> payloads) throws LogUnavailableException, AppendUnknownException {
		this.interleaver.step();
		MemoryLogStream.AppendFault[] faults = MemoryLogStream.AppendFault.values();
		boolean faulty = this.random.nextInt(100) < FAULT_PERCENT;
		this.log.nextAppends(faulty ? faults[this.random.nextInt(faults.length)] : MemoryLogStream.AppendFault.NONE);
		try {
			return this.log.append(payloads);
		}
		finally {
			this.interleaver.step();
		}
	}

	@Override
	public List<LogRecord> read(long fromOffset, int maxRecords) throws LogUnavailableException, TrimmedException {
		this.interleaver.step();
		return this.log.read(fromOffset, maxRecords);
	}

	@Override
	public Bounds bounds() throws LogUnavailableException {
		this.interleaver.step();
		return this.log.bounds();
	}

}
