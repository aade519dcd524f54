package io.sequoialink.ledger.bills;

import java.util.Comparator;
import java.util.List;

import io.sequoialink.ledger.bills.BillPeers.Process;

/**
 * Picks the hosts that hold copies, by rendezvous hashing: every origin has its own order
 * of holders, and the loss of one changes only the choice of the origins that used it.
 * Stateless and thread-safe.
 */
public final class CopyHolders {

	private static final long MULTIPLIER = 0x9e3779b97f4a7c15L;

	private CopyHolders() {
	}

	/**
	 * Orders candidates for an origin: those of other zones first.
	 * @param origin the origin's process
	 * @param zone the origin's availability zone
	 * @param candidates live members, the origin perhaps among them
	 * @return the candidates, best first, without the origin
	 */
	public static List<Process> rank(Process origin, String zone, List<Candidate> candidates) {
		return candidates.stream()
			.filter((candidate) -> !candidate.process().host().equals(origin.host()))
			.sorted(Comparator.comparing((Candidate candidate) -> candidate.zone().equals(zone))
				.thenComparingLong((candidate) -> weight(origin, candidate))
				.thenComparing((candidate) -> candidate.process().host()))
			.map(Candidate::process)
			.toList();
	}

	private static long weight(Process origin, Candidate candidate) {
		long hash = origin.host().value().hashCode() * MULTIPLIER ^ candidate.process().host().value().hashCode();
		hash = (hash ^ (hash >>> 29)) * MULTIPLIER;
		return hash ^ (hash >>> 32);
	}

	/**
	 * A member that may hold copies. Immutable and thread-safe.
	 *
	 * @param process its process
	 * @param zone its availability zone
	 */
	public record Candidate(Process process, String zone) {
	}

}
