package io.sequoialink.decision.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Known crashes of backend servers, each with the traits of the requests whose responses
 * had not begun there. A trait is a property that a request may have in common with
 * others and that may be why it crashes servers: a part of its prompt, or its
 * fingerprint. Confined to one thread.
 *
 * <p>
 * Invariants: a crash counts against a trait only until a response to any request with
 * the trait has begun; crashes that follow one another count, that is, those in which a
 * request with the trait was sent after the previous crash, so servers that crash
 * together count once; traits that can't be told apart, because they were in progress in
 * the same crashes, are culprits only together; a crash that a culprit explains does not
 * count against other traits.
 */
public final class CrashEvidence {

	/**
	 * Number of crashes in succession from which a trait is suspected, if a server was
	 * beginning a response in one of them; otherwise it takes one more.
	 */
	public static final int SUSPECT_CRASHES = 2;

	/**
	 * Number of crashes in which a server was beginning a response to a request with a
	 * trait, from which {@link CrashReports#MIN_CRASHES} crashes in succession make it a
	 * culprit; otherwise it takes {@link CrashReports#SHARED_CRASH_LIMIT}.
	 */
	static final int MIN_ANSWERING = 2;

	/**
	 * Number of crashes in succession that make a culprit of a trait whose requests got
	 * responses before them. Traits that many requests have are in progress in most
	 * crashes, so a host that lacks reports of others would blame them.
	 */
	static final int RESPONDED_CRASHES = 8;

	/**
	 * Time after the news of a crash by which the other hosts have reported what they
	 * lost in it, in nanoseconds. No trait becomes a culprit by a crash that became known
	 * later. The crash itself may be longer ago: it takes time to prove it.
	 */
	public static final long REPORT_DELAY_NANOS = 250_000_000L;

	/** Limit of remembered crashes; the oldest are removed first. */
	private static final int MAX_CRASHES = 128;

	/** Limit of traits in a crash, above the number of requests that a server runs. */
	private static final int MAX_TRAITS_PER_CRASH = 512;

	/** Limit of the traits for which the newest response is remembered. */
	private static final int MAX_RESPONSES = 8192;

	/** Time for which a crash is remembered, in nanoseconds. */
	static final long RETENTION_NANOS = 600_000_000_000L;

	private final Map<Long, Crash> crashes = bounded(MAX_CRASHES);

	private final Map<Long, Long> responses = bounded(MAX_RESPONSES);

	private static <V> Map<Long, V> bounded(int limit) {
		return new LinkedHashMap<>() {
			@Override
			protected boolean removeEldestEntry(Map.Entry<Long, V> eldest) {
				return size() > limit;
			}
		};
	}

	/**
	 * Adds what one host lost in the crash of a server to what is known of it.
	 * @param server hash of the server's incarnation
	 * @param atNanos monotonic time of the crash
	 * @param involved how requests with each trait were involved
	 * @param nowNanos current monotonic time in nanoseconds
	 * @return whether this crash was not known before
	 */
	public boolean recordCrash(long server, long atNanos, Map<Long, Involvement> involved, long nowNanos) {
		boolean news = !this.crashes.containsKey(server);
		Crash crash = this.crashes.computeIfAbsent(server,
				(key) -> new Crash(server, atNanos, nowNanos, new HashMap<>()));
		involved.forEach((trait, involvement) -> {
			if (crash.involved.size() < MAX_TRAITS_PER_CRASH || crash.involved.containsKey(trait)) {
				crash.involved.merge(trait, involvement, Involvement::merge);
			}
		});
		return news;
	}

	/**
	 * Returns whether it is known how requests with a trait were involved in a crash.
	 * @param server hash of the server's incarnation
	 * @param trait the trait
	 * @param involvement how one of them was involved
	 * @return whether that adds nothing to what is known
	 */
	public boolean knows(long server, long trait, Involvement involvement) {
		Crash crash = this.crashes.get(server);
		Involvement known = (crash != null) ? crash.involved.get(trait) : null;
		return known != null && known.merge(involvement).equals(known);
	}

	/**
	 * Returns when a server crashed.
	 * @param server hash of the server's incarnation
	 * @return monotonic time in nanoseconds, if its crash is remembered
	 */
	public Optional<Long> crashNanos(long server) {
		return Optional.ofNullable(this.crashes.get(server)).map(Crash::atNanos);
	}

	/**
	 * Records that a response to a request with a trait has begun without a crash.
	 * @param trait the trait
	 * @param atNanos monotonic time at which it had begun
	 */
	public void recordResponse(long trait, long atNanos) {
		Long known = this.responses.remove(trait);
		this.responses.put(trait, (known != null) ? Math.max(known, atNanos) : atNanos);
	}

	/**
	 * Returns when the newest response to a request with a trait had begun.
	 * @param trait the trait
	 * @return monotonic time in nanoseconds, if one is remembered
	 */
	public Optional<Long> responseNanos(long trait) {
		return Optional.ofNullable(this.responses.get(trait));
	}

	/**
	 * Returns whether a crash counts against a trait.
	 * @param trait the trait
	 * @return whether it was in progress in a crash and has got no response since
	 */
	public boolean open(long trait) {
		return this.crashes.values().stream().anyMatch((crash) -> openIn(crash, trait));
	}

	private boolean openIn(Crash crash, long trait) {
		Long responded = this.responses.get(trait);
		return crash.involved.containsKey(trait) && (responded == null || responded <= crash.atNanos);
	}

	/**
	 * Returns whether any crash is remembered.
	 * @return whether crashes are known
	 */
	public boolean isEmpty() {
		return this.crashes.isEmpty();
	}

	/**
	 * Removes crashes that are older than {@link #RETENTION_NANOS}.
	 * @param nowNanos current monotonic time in nanoseconds
	 */
	public void expire(long nowNanos) {
		this.crashes.values().removeIf((crash) -> nowNanos - crash.atNanos > RETENTION_NANOS);
	}

	/**
	 * Removes all crashes. Needed after this host was suspended: its monotonic clock may
	 * have stood still, so that times of before and after can't be compared.
	 */
	public void clear() {
		this.crashes.clear();
		this.responses.clear();
	}

	/**
	 * Returns the servers whose crashes are explained by culprits.
	 * @param culprits sets of traits that crash servers together
	 * @return hashes of the servers' incarnations
	 */
	public Set<Long> explained(Collection<Set<Long>> culprits) {
		Set<Long> servers = new HashSet<>();
		for (Crash crash : this.crashes.values()) {
			if (crash.containsAny(culprits)) {
				servers.add(crash.server);
			}
		}
		return servers;
	}

	/**
	 * Evaluates all crashes together.
	 * @param known culprits that are known already
	 * @param nowNanos current monotonic time in nanoseconds
	 * @return suspected traits and further culprits
	 */
	public Findings evaluate(Collection<Set<Long>> known, long nowNanos) {
		List<Culprit> found = culprits(known, openCrashes(known, nowNanos - REPORT_DELAY_NANOS));
		List<Set<Long>> all = new ArrayList<>(known);
		found.forEach((culprit) -> all.add(culprit.traits()));
		return new Findings(suspects(openCrashes(all, nowNanos)), found);
	}

	private List<Culprit> culprits(Collection<Set<Long>> known, Map<Long, List<Crash>> open) {
		List<Set<Long>> culprits = new ArrayList<>(known);
		List<Culprit> found = new ArrayList<>();
		Set<Long> ambiguous = new HashSet<>();
		Optional<Map.Entry<Long, List<Crash>>> worst = worst(open, ambiguous);
		while (worst.isPresent()) {
			List<Crash> of = worst.get().getValue();
			Set<Long> together = inProgressInAll(open, of,
					Math.min(MIN_ANSWERING, answering(worst.get().getKey(), of)));
			if (culprits.stream().anyMatch(together::containsAll)) {
				ambiguous.addAll(together);
			}
			else {
				culprits.add(together);
				found
					.add(new Culprit(together, of.stream().map(Crash::server).toList(), of.get(of.size() - 1).atNanos));
				open.keySet().removeAll(together);
				open.values().forEach((crashesOfOther) -> crashesOfOther.removeAll(of));
			}
			worst = worst(open, ambiguous);
		}
		return found;
	}

	private Map<Long, List<Crash>> openCrashes(Collection<Set<Long>> known, long knownUntilNanos) {
		Set<Long> undecided = new HashSet<>();
		Set<Long> decided = new HashSet<>();
		known.forEach((culprit) -> ((culprit.size() > 1) ? undecided : decided).addAll(culprit));
		Map<Long, List<Crash>> open = new HashMap<>();
		List<Crash> ordered = new ArrayList<>(this.crashes.values());
		ordered.removeIf((crash) -> crash.knownNanos > knownUntilNanos);
		ordered.sort(Comparator.comparingLong(Crash::atNanos));
		for (Crash crash : ordered) {
			boolean explained = crash.containsAny(known);
			for (long trait : crash.involved.keySet()) {
				if ((!explained || undecided.contains(trait)) && !decided.contains(trait) && openIn(crash, trait)) {
					open.computeIfAbsent(trait, (key) -> new ArrayList<>()).add(crash);
				}
			}
		}
		return open;
	}

	private Optional<Map.Entry<Long, List<Crash>>> worst(Map<Long, List<Crash>> open, Set<Long> except) {
		return open.entrySet()
			.stream()
			.filter((entry) -> !except.contains(entry.getKey()) && isCulprit(entry.getKey(), entry.getValue()))
			.max(Comparator
				.comparingInt((Map.Entry<Long, List<Crash>> entry) -> answering(entry.getKey(), entry.getValue()))
				.thenComparingInt((entry) -> succession(entry.getKey(), entry.getValue()))
				.thenComparingInt((entry) -> entry.getValue().size())
				.thenComparing(Map.Entry::getKey));
	}

	private boolean isCulprit(long trait, List<Crash> of) {
		int succession = succession(trait, of);
		if (this.responses.containsKey(trait)) {
			return succession >= RESPONDED_CRASHES;
		}
		return succession >= CrashReports.SHARED_CRASH_LIMIT
				|| (succession >= CrashReports.MIN_CRASHES && answering(trait, of) >= MIN_ANSWERING);
	}

	// A request whose response does not begin before its server crashes may merely wait
	// there, unless the server was just about to begin the response.
	private static boolean isSuspect(long trait, List<Crash> of) {
		int succession = succession(trait, of);
		return succession > SUSPECT_CRASHES || (succession == SUSPECT_CRASHES && answering(trait, of) > 0);
	}

	private static int answering(long trait, List<Crash> of) {
		return (int) of.stream().filter((crash) -> crash.involved.get(trait).answering()).count();
	}

	private static Set<Long> inProgressInAll(Map<Long, List<Crash>> open, List<Crash> of, int minAnswering) {
		Set<Long> together = new HashSet<>();
		open.forEach((trait, crashesOfTrait) -> {
			if (new HashSet<>(crashesOfTrait).containsAll(of) && answering(trait, of) >= minAnswering) {
				together.add(trait);
			}
		});
		return together;
	}

	private static Map<Long, Suspicion> suspects(Map<Long, List<Crash>> open) {
		Map<Long, Suspicion> suspects = new HashMap<>();
		open.forEach((trait, of) -> {
			if (isSuspect(trait, of)) {
				suspects.put(trait,
						new Suspicion(succession(trait, of), of.get(0).atNanos, of.get(of.size() - 1).atNanos));
			}
		});
		return suspects;
	}

	// Length of the longest chain of crashes in which a request with the trait was sent
	// to each server after the previous one had crashed.
	private static int succession(long trait, List<Crash> ordered) {
		int[] chain = new int[ordered.size()];
		int longest = 0;
		for (int next = 0; next < chain.length; next++) {
			chain[next] = 1;
			for (int before = 0; before < next; before++) {
				if (ordered.get(next).involved.get(trait).sentNanos() - ordered.get(before).atNanos >= 0) {
					chain[next] = Math.max(chain[next], chain[before] + 1);
				}
			}
			longest = Math.max(longest, chain[next]);
		}
		return longest;
	}

	/**
	 * Crash of one server. Compared by identity.
	 */
	private static final class Crash {

		private final long server;

		private final long atNanos;

		private final long knownNanos;

		private final Map<Long, Involvement> involved;

		Crash(long server, long atNanos, long knownNanos, Map<Long, Involvement> involved) {
			this.server = server;
			this.atNanos = atNanos;
			this.knownNanos = knownNanos;
			this.involved = involved;
		}

		long server() {
			return this.server;
		}

		long atNanos() {
			return this.atNanos;
		}

		boolean containsAny(Collection<Set<Long>> culprits) {
			return culprits.stream().anyMatch(this.involved.keySet()::containsAll);
		}

	}

	/**
	 * Result of an evaluation. Immutable.
	 *
	 * @param suspects suspected traits
	 * @param culprits traits that crash servers and were not known as culprits
	 */
	public record Findings(Map<Long, Suspicion> suspects, List<Culprit> culprits) {
	}

	/**
	 * Why a trait is suspected. Immutable.
	 *
	 * @param crashes number of crashes in succession
	 * @param firstNanos monotonic time of the first of them
	 * @param lastNanos monotonic time of the last of them
	 */
	public record Suspicion(int crashes, long firstNanos, long lastNanos) {
	}

	/**
	 * Traits that crash servers. Immutable.
	 *
	 * @param traits the traits; more than one if they can't be told apart
	 * @param servers hashes of the incarnations that crashed
	 * @param lastNanos monotonic time of the last crash
	 */
	public record Culprit(Set<Long> traits, List<Long> servers, long lastNanos) {
	}

}
