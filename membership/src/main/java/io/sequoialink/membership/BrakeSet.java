package io.sequoialink.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import io.sequoialink.model.Brake;
import io.sequoialink.model.Brake.Scope;

/**
 * The brakes that a host knows. Merging is commutative, associative and idempotent: the
 * set holds the {@link #MAX_BRAKES} brakes that come first in one order, so all hosts
 * keep the same ones. Brakes of versions come before all others, newer ones before older
 * ones. Not thread-safe.
 */
final class BrakeSet {

	static final int MAX_BRAKES = 1024;

	private static final Comparator<Brake> KEEP_ORDER = Comparator
		.comparing((Brake brake) -> brake.scope() != Scope.VERSION)
		.thenComparing(Comparator.comparingLong(Brake::atMillis).reversed())
		.thenComparingLong(BrakeSet::digest)
		.thenComparing(Brake::toString);

	private final TreeSet<Brake> order = new TreeSet<>(KEEP_ORDER);

	private final Map<Long, Brake> byDigest = new TreeMap<>();

	private List<Brake> all = List.of();

	private long total;

	/**
	 * Adds a brake.
	 * @param brake the brake
	 * @return whether it is news and was kept
	 */
	boolean add(Brake brake) {
		if (this.byDigest.putIfAbsent(digest(brake), brake) != null) {
			return false;
		}
		this.order.add(brake);
		this.total ^= digest(brake);
		boolean kept = this.order.size() <= MAX_BRAKES || !removeLast().equals(brake);
		this.all = kept ? List.copyOf(this.order) : this.all;
		return kept;
	}

	List<Brake> all() {
		return this.all;
	}

	long digest() {
		return this.total;
	}

	Collection<Long> digests() {
		return this.byDigest.keySet();
	}

	List<Brake> missingFrom(Collection<Long> held) {
		Set<Long> distinct = new HashSet<>(held);
		return this.byDigest.entrySet()
			.stream()
			.filter((entry) -> !distinct.contains(entry.getKey()))
			.map(Map.Entry::getValue)
			.toList();
	}

	List<Brake> withDigests(Collection<Long> wanted) {
		return wanted.stream().distinct().filter(this.byDigest::containsKey).map(this.byDigest::get).toList();
	}

	private Brake removeLast() {
		Brake last = this.order.pollLast();
		this.byDigest.remove(digest(last));
		this.total ^= digest(last);
		return last;
	}

	private static long digest(Brake brake) {
		String key = brake.scope() + "/" + brake.target() + "/" + brake.origin() + "/" + brake.reason();
		return Hashes.of(key, brake.atMillis() * 31 + brake.revision());
	}

}
