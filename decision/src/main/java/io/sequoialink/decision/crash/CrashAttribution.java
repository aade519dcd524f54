package io.sequoialink.decision.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.LongStream;

/**
 * Determines which request fingerprints caused the known server crashes. All fingerprints
 * are evaluated together: a crash that is attributed to one fingerprint does not count
 * against the others. Immutable.
 *
 * <p>
 * Invariants: a fingerprint is a culprit from {@link CrashReports#MIN_CRASHES} crashes on
 * if it was the only suspect in the crash of some server, or if the servers that crashed
 * while running it are at least {@link #MIN_UNSHARED_SERVERS} more than those that it
 * shares with any one other fingerprint; from {@link CrashReports#SHARED_CRASH_LIMIT}
 * crashes on if no other fingerprint was in progress in all of its crashes; and from one
 * crash more than that in any case.
 */
final class CrashAttribution {

	/**
	 * Number of crashed servers by which a fingerprint must exceed those that it shares
	 * with any one other fingerprint.
	 */
	private static final int MIN_UNSHARED_SERVERS = 2;

	private final Map<Long, Long> culpritSince = new HashMap<>();

	private CrashAttribution() {
	}

	/**
	 * Evaluates all fingerprints.
	 * @param reports observed crashes by fingerprint and host
	 * @return the result
	 */
	static CrashAttribution of(Map<Long, Map<String, List<ServerCrash>>> reports) {
		CrashAttribution result = new CrashAttribution();
		List<Suspect> suspects = suspects(reports);
		Map<String, Integer> suspectsOf = new HashMap<>();
		suspects.forEach((suspect) -> suspect.servers().forEach((server) -> suspectsOf.merge(server, 1, Integer::sum)));
		suspects.sort(Comparator.comparingInt((Suspect suspect) -> -suspect.countCrashes())
			.thenComparing((suspect) -> suspect.firstSoleSuspicion(suspectsOf).isEmpty())
			.thenComparingLong(Suspect::fingerprint));
		result.attribute(suspects, suspectsOf);
		return result;
	}

	private static List<Suspect> suspects(Map<Long, Map<String, List<ServerCrash>>> reports) {
		List<Suspect> suspects = new ArrayList<>();
		reports.forEach((fingerprint, hosts) -> suspects.add(new Suspect(fingerprint, hosts.values())));
		return suspects;
	}

	private void attribute(List<Suspect> suspects, Map<String, Integer> suspectsOf) {
		Set<String> explained = new HashSet<>();
		for (Suspect suspect : suspects) {
			Suspect remaining = suspect.withoutExplained(explained);
			OptionalLong since = remaining.culpritSince(suspects, suspectsOf);
			if (since.isPresent()) {
				this.culpritSince.put(suspect.fingerprint(), since.getAsLong());
				explained.addAll(suspect.servers());
			}
		}
	}

	/**
	 * Returns whether requests with a fingerprint may run.
	 * @param fingerprint the fingerprint
	 * @param nowNanos monotonic time in nanoseconds
	 * @return the verdict
	 */
	CrashVerdict verdict(long fingerprint, long nowNanos) {
		Long since = this.culpritSince.get(fingerprint);
		if (since == null) {
			return CrashVerdict.FREE;
		}
		return (nowNanos - since >= CrashReports.REPORT_DELAY_NANOS) ? CrashVerdict.BLOCKED : CrashVerdict.HELD;
	}

	/**
	 * Returns the fingerprints to which crashes are attributed.
	 * @return the culprits
	 */
	Set<Long> culprits() {
		return Collections.unmodifiableSet(this.culpritSince.keySet());
	}

	/**
	 * A fingerprint with the crashes during which one of its requests was in progress.
	 * Immutable.
	 *
	 * @param fingerprint the fingerprint
	 * @param crashesByHost crashes that each host observed
	 */
	record Suspect(long fingerprint, Collection<List<ServerCrash>> crashesByHost) {

		Set<String> servers() {
			Set<String> servers = new HashSet<>();
			this.crashesByHost.forEach((crashes) -> crashes.forEach((crash) -> servers.add(crash.server())));
			return servers;
		}

		Suspect withoutExplained(Set<String> explained) {
			List<List<ServerCrash>> remaining = new ArrayList<>();
			for (List<ServerCrash> crashes : this.crashesByHost) {
				remaining.add(crashes.stream().filter((crash) -> !explained.contains(crash.server())).toList());
			}
			return new Suspect(this.fingerprint, remaining);
		}

		// Length of the longest chain of crashes in which each may be due to a request
		// that was sent after the previous crash.
		int countCrashes() {
			List<ObservedCrash> ordered = distinctCrashes();
			int[] chain = new int[ordered.size()];
			int longest = 0;
			for (int next = 0; next < chain.length; next++) {
				chain[next] = 1;
				for (int before = 0; before < next; before++) {
					if (ordered.get(next).follows(ordered.get(before))) {
						chain[next] = Math.max(chain[next], chain[before] + 1);
					}
				}
				longest = Math.max(longest, chain[next]);
			}
			return longest;
		}

		// Each server once, as observed by the host that counted most crashes.
		private List<ObservedCrash> distinctCrashes() {
			List<List<ServerCrash>> hosts = new ArrayList<>();
			this.crashesByHost.forEach((crashes) -> hosts.add(crashes.stream().filter(ServerCrash::counted).toList()));
			hosts.sort(Comparator.comparingInt((List<ServerCrash> crashes) -> -crashes.size()));
			Map<String, ObservedCrash> observed = new HashMap<>();
			for (int host = 0; host < hosts.size(); host++) {
				for (ServerCrash crash : hosts.get(host)) {
					observed.putIfAbsent(crash.server(), new ObservedCrash(host, crash));
				}
			}
			List<ObservedCrash> ordered = new ArrayList<>(observed.values());
			ordered.sort(Comparator.comparingLong((ObservedCrash crash) -> crash.crash().atNanos()));
			return ordered;
		}

		// Time of the first crash in which no other suspect was in progress, empty if
		// none.
		OptionalLong firstSoleSuspicion(Map<String, Integer> suspectsOf) {
			return this.crashesByHost.stream()
				.flatMap(List::stream)
				.filter((crash) -> suspectsOf.get(crash.server()) == 1)
				.mapToLong(ServerCrash::atNanos)
				.min();
		}

		// Time from which crashes are attributed to the fingerprint, empty if it is no
		// culprit.
		OptionalLong culpritSince(List<Suspect> all, Map<String, Integer> suspectsOf) {
			int crashes = countCrashes();
			if (crashes < CrashReports.MIN_CRASHES) {
				return OptionalLong.empty();
			}
			int unshared = servers().size() - maxSharedServers(all);
			boolean certain = crashes > CrashReports.SHARED_CRASH_LIMIT
					|| (crashes == CrashReports.SHARED_CRASH_LIMIT && unshared > 0);
			if (certain) {
				return crashTimes().min();
			}
			return (unshared >= MIN_UNSHARED_SERVERS) ? crashTimes().max() : firstSoleSuspicion(suspectsOf);
		}

		private LongStream crashTimes() {
			return this.crashesByHost.stream().flatMap(List::stream).mapToLong(ServerCrash::atNanos);
		}

		// Largest number of its crashed servers on which one and the same other
		// fingerprint was also in progress.
		private int maxSharedServers(List<Suspect> all) {
			Set<String> own = servers();
			int most = 0;
			for (Suspect other : all) {
				if (other.fingerprint() != this.fingerprint) {
					Set<String> common = other.servers();
					common.retainAll(own);
					most = Math.max(most, common.size());
				}
			}
			return most;
		}

	}

	/**
	 * A crash with the index of the host that observed it. Immutable.
	 */
	private record ObservedCrash(int host, ServerCrash crash) {

		// The order of crashes observed by one host is known; the clocks of two hosts may
		// differ slightly.
		boolean follows(ObservedCrash before) {
			return this.host == before.host || (this.crash.sentNanos() - before.crash.atNanos() >= 0
					&& this.crash.atNanos() - before.crash.atNanos() >= CrashReports.MIN_SEPARATION_NANOS);
		}

	}

}
