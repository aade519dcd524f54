package io.sequoialink.ledger.leases;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.sequoialink.remote.LogRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The fold of the stream of leases, a deterministic state machine over its records. A
 * lease is granted to the first attempt in the log that names the newest lease of its
 * resource as the one that it follows. Not thread-safe.
 */
final class LeaseFold {

	private static final Logger logger = LoggerFactory.getLogger(LeaseFold.class);

	private final Map<String, Held> held = new HashMap<>();

	private long next;

	LeaseFold(long next) {
		this.next = next;
	}

	long next() {
		return this.next;
	}

	/**
	 * Returns the newest lease on a resource.
	 * @param resource the resource
	 * @return the lease, released or not, or empty if there was none
	 */
	Optional<Held> newest(String resource) {
		return Optional.ofNullable(this.held.get(resource));
	}

	/**
	 * Folds the next record.
	 * @param record the record at offset {@link #next}
	 * @param seenNanos this host's monotonic clock; kept beside the lease and of no
	 * influence on the verdict
	 */
	void step(LogRecord record, long seenNanos) {
		this.next = record.offset() + 1;
		try {
			LeaseRecord lease = LeaseRecord.read(record.payload());
			if (lease instanceof LeaseRecord.Acquire acquire) {
				acquire(acquire, record.offset(), seenNanos);
			}
			else if (lease instanceof LeaseRecord.Release release) {
				release(release);
			}
		}
		catch (IOException ex) {
			logger.warn(LeaseEvents.RECORD_SKIPPED, record.offset(), ex.getMessage());
		}
	}

	private void acquire(LeaseRecord.Acquire acquire, long offset, long seenNanos) {
		Held current = this.held.get(acquire.resource());
		boolean repeated = current != null && current.id().equals(acquire.id());
		if (!repeated && acquire.previous() == ((current != null) ? current.fencingNumber() : -1)) {
			this.held.put(acquire.resource(), new Held(acquire.id(), offset, seenNanos, false));
		}
	}

	private void release(LeaseRecord.Release release) {
		this.held.computeIfPresent(release.resource(),
				(resource, current) -> (current.fencingNumber() == release.fencingNumber())
						? new Held(current.id(), current.fencingNumber(), current.seenNanos(), true) : current);
	}

	/**
	 * The newest lease on a resource. Immutable and thread-safe.
	 *
	 * @param id id of the attempt that was granted
	 * @param fencingNumber its offset
	 * @param seenNanos when this host read it
	 * @param released whether its holder ended it
	 */
	record Held(String id, long fencingNumber, long seenNanos, boolean released) {
	}

}
