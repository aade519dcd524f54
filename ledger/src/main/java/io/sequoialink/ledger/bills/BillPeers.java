package io.sequoialink.ledger.bills;

import java.util.List;

import io.sequoialink.model.HostId;

/**
 * What bills need of the other entry hosts. Implementations are thread-safe; no method
 * blocks. Messages may be lost, repeated or late, never forged; they are handed to
 * {@link LogBillJournal#receive} at the receiver.
 */
public interface BillPeers {

	/**
	 * Returns this host's process.
	 * @return this process
	 */
	Process self();

	/**
	 * Returns the processes that may hold this host's copies, best first: alive, in other
	 * availability zones where there are any. {@link CopyHolders#rank} picks them.
	 * @return the processes; this host is not among them
	 */
	List<Process> holders();

	/**
	 * Returns whether a process has not been given up and not been replaced.
	 * @param process the process
	 * @return whether it is a member
	 */
	boolean present(Process process);

	/**
	 * Returns the number of entry hosts that share the log's budget.
	 * @return the number of members, at least 1
	 */
	int fleetSize();

	/**
	 * Sends a message.
	 * @param receiver the receiver
	 * @param message the message
	 */
	void send(HostId receiver, byte[] message);

	/**
	 * One process of an entry host. Immutable and thread-safe.
	 *
	 * @param host the host
	 * @param incarnation start time of the process, epoch milliseconds
	 */
	record Process(HostId host, long incarnation) {
	}

}
