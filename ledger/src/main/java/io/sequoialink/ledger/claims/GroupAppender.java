package io.sequoialink.ledger.claims;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.sequoialink.remote.AppendUnknownException;
import io.sequoialink.remote.LogStream;
import io.sequoialink.remote.LogUnavailableException;

/**
 * Sends records that arrive during one append together in the next one, so that a host
 * has at most one append under way. All records of a group share its fate. Thread-safe;
 * the monitor is not held while the log is written.
 */
final class GroupAppender {

	private final LogStream stream;

	private Group gathering = new Group();

	private boolean appending;

	GroupAppender(LogStream stream) {
		this.stream = stream;
	}

	/**
	 * Appends a record and waits for its fate.
	 * @param payload the record
	 * @throws LogUnavailableException if nothing was appended
	 * @throws AppendUnknownException if the record may have been appended
	 */
	void append(byte[] payload) throws LogUnavailableException, AppendUnknownException {
		Group group;
		boolean leader = false;
		synchronized (this) {
			group = this.gathering;
			group.payloads.add(payload);
			while (!group.done && !leader) {
				leader = !this.appending && group == this.gathering;
				if (!leader) {
					await();
				}
			}
			if (leader) {
				this.appending = true;
				this.gathering = new Group();
			}
		}
		if (leader) {
			send(group);
		}
		group.report();
	}

	private void send(Group group) {
		try {
			this.stream.append(group.payloads);
			group.unknown = Optional.empty();
		}
		catch (LogUnavailableException ex) {
			group.refused = Optional.of(ex);
		}
		catch (AppendUnknownException ex) {
			group.unknown = Optional.of(ex);
		}
		finally {
			synchronized (this) {
				group.done = true;
				this.appending = false;
				notifyAll();
			}
		}
	}

	private void await() throws AppendUnknownException {
		try {
			wait();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new AppendUnknownException("interrupted while the record waited for its append", ex);
		}
	}

	private static final class Group {

		private final List<byte[]> payloads = new ArrayList<>();

		private Optional<LogUnavailableException> refused = Optional.empty();

		private Optional<AppendUnknownException> unknown = Optional
			.of(new AppendUnknownException("the append did not end"));

		private boolean done;

		private void report() throws LogUnavailableException, AppendUnknownException {
			if (this.refused.isPresent()) {
				throw this.refused.get();
			}
			if (this.unknown.isPresent()) {
				throw this.unknown.get();
			}
		}

	}

}
