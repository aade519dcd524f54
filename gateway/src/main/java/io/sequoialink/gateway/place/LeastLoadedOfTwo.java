package io.sequoialink.gateway.place;

import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Draws two servers and takes the one with the smaller share of its slots in use, so that
 * hosts which read the same stale reports do not all choose the same server. Confined to
 * the event loop.
 */
public final class LeastLoadedOfTwo implements ServerChoice {

	/** Reports older than this say nothing, in nanoseconds. */
	static final long REPORT_FADE_NANOS = 2_000_000_000L;

	private final ServerTable servers;

	private final LongSupplier clock;

	private final RandomGenerator random;

	/**
	 * Creates the choice.
	 * @param servers the servers
	 * @param clock monotonic time in nanoseconds
	 * @param random source of the draws
	 */
	public LeastLoadedOfTwo(ServerTable servers, LongSupplier clock, RandomGenerator random) {
		this.servers = servers;
		this.clock = clock;
		this.random = random;
	}

	@Override
	public Optional<ServerState> choose(PlaceRequest request) {
		long now = this.clock.getAsLong();
		List<ServerState> usable = this.servers.usable(request.service());
		List<ServerState> fresh = usable.stream()
			.filter((state) -> !state.avoided(now) && !request.tried().contains(state.entry().id()))
			.toList();
		List<ServerState> candidates = fresh.isEmpty() ? usable : fresh;
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		ServerState first = candidates.get(this.random.nextInt(candidates.size()));
		ServerState second = candidates.get(this.random.nextInt(candidates.size()));
		return Optional.of((use(first, now) <= use(second, now)) ? first : second);
	}

	private static double use(ServerState state, long now) {
		return state.load(now, REPORT_FADE_NANOS) / Math.max(1, state.entry().slots());
	}

}
