package io.sequoialink.gateway.crash;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.sequoialink.decision.crash.CulpritState;
import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.feed.EventLoopTimer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The records of culprits in the platform's store, as far as this host knows them: writes
 * those that are missing, and deletes those that are replaced or were found harmless.
 * Confined to the event loop.
 *
 * <p>
 * Invariant: a wider culprit is deleted only after the narrower one is stored, since a
 * host that reads a deletion before it knows what replaces it takes it for a permission.
 */
final class CulpritRecords {

	private static final Logger logger = LoggerFactory.getLogger(TraitCoordinator.class);

	/** Time over which hosts spread the writing of a culprit, in milliseconds. */
	private static final int SPREAD_MILLIS = 500;

	private static final long RETRY_MILLIS = 1000;

	/**
	 * Time after a return of the store in which its records are read again, in
	 * milliseconds.
	 */
	private static final long READ_AGAIN_MILLIS = 1000;

	private final CulpritStore store;

	private final Supplier<Map<Set<Long>, CulpritState>> states;

	private final Function<Collection<Long>, String> labels;

	private final BooleanSupplier writesForAll;

	private final EventLoopTimer timer;

	private final LongSupplier clock;

	private final RandomGenerator random;

	private final Set<Set<Long>> stored = new HashSet<>();

	/**
	 * Creates an instance that knows of no record.
	 * @param store the store
	 * @param states returns what is known of each culprit
	 * @param labels returns text that names traits
	 * @param writesForAll whether this host is one of the few that write for all
	 * @param timer schedules tasks
	 * @param clock monotonic time in nanoseconds
	 * @param random spreads the calls
	 */
	CulpritRecords(CulpritStore store, Supplier<Map<Set<Long>, CulpritState>> states,
			Function<Collection<Long>, String> labels, BooleanSupplier writesForAll, EventLoopTimer timer,
			LongSupplier clock, RandomGenerator random) {
		this.store = store;
		this.states = states;
		this.labels = labels;
		this.writesForAll = writesForAll;
		this.timer = timer;
		this.clock = clock;
		this.random = random;
	}

	/**
	 * Writes a culprit within {@link #SPREAD_MILLIS}, unless another host has written it
	 * by then.
	 * @param culprit the traits
	 * @param servers names of the servers that crashed
	 */
	void writeSoon(Set<Long> culprit, List<String> servers) {
		writeAfter(0, culprit, servers);
	}

	private void writeAfter(long millis, Set<Long> culprit, List<String> servers) {
		this.timer.schedule(() -> write(culprit, servers), millis + this.random.nextInt(SPREAD_MILLIS));
	}

	private void write(Set<Long> culprit, List<String> servers) {
		CulpritState state = this.states.get().get(culprit);
		if (state == null || state.lifted() || this.stored.contains(culprit)) {
			return;
		}
		long ageMillis = TimeUnit.NANOSECONDS.toMillis(this.clock.getAsLong() - state.atNanos());
		CulpritRecord culpritRecord = new CulpritRecord(culprit, this.labels.apply(culprit), state.crashes(), servers,
				ageMillis);
		this.store.write(culpritRecord, (reply) -> reply.match((offset) -> written(culprit), (failure) -> {
			logger.info(GatewayEvents.CULPRIT_NOT_WRITTEN, this.labels.apply(culprit), failure.kind(),
					failure.detail());
			this.timer.schedule(() -> write(culprit, servers), RETRY_MILLIS);
		}));
	}

	private void written(Set<Long> culprit) {
		this.stored.add(culprit);
		List.copyOf(this.stored)
			.stream()
			.filter((wider) -> wider.size() > culprit.size() && wider.containsAll(culprit))
			.forEach(this::delete);
	}

	/**
	 * Deletes the record of a culprit if this host knows that there is one.
	 * @param culprit the traits
	 */
	void delete(Set<Long> culprit) {
		if (this.stored.remove(culprit)) {
			this.store.delete(culprit);
		}
	}

	/**
	 * Called when a record was read.
	 * @param culprit the traits
	 */
	void read(Set<Long> culprit) {
		this.stored.add(culprit);
	}

	/**
	 * Called when the deletion of a record was read.
	 * @param culprit the traits
	 */
	void deleted(Set<Long> culprit) {
		this.stored.remove(culprit);
	}

	/**
	 * Deletes a record of a culprit that was lifted after it, within
	 * {@link #SPREAD_MILLIS}: the deletion was lost, and hosts that start later would
	 * block its requests.
	 * @param culprit the traits
	 * @param read state that the record holds
	 */
	void deleteIfLifted(Set<Long> culprit, CulpritState read) {
		CulpritState known = this.states.get().get(culprit);
		boolean liftedSince = known != null && known.lifted() && known.atNanos() >= read.atNanos();
		if (liftedSince && this.writesForAll.getAsBoolean()) {
			this.timer.schedule(() -> delete(culprit), this.random.nextInt(SPREAD_MILLIS));
		}
	}

	/**
	 * Called when the store has returned from an older copy. Culprits in force whose
	 * record is not read again soon are written again.
	 */
	void storeReturned() {
		this.stored.clear();
		if (this.writesForAll.getAsBoolean()) {
			this.states.get().forEach((culprit, state) -> writeAfter(READ_AGAIN_MILLIS, culprit, List.of()));
		}
	}

}
