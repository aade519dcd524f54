package io.sequoialink.gateway.http;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.sequoialink.decision.limits.PermitDecision;
import io.sequoialink.gateway.GatewayEvents;
import io.sequoialink.gateway.feed.EventLoopTimer;
import io.sequoialink.gateway.permit.RequestPermits;
import io.sequoialink.gateway.place.LoadBalancingRequest;
import io.sequoialink.gateway.place.SelectedServer;
import io.sequoialink.gateway.place.ServerState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Gets the permits for one request's attempts at servers that take a limited number of
 * requests. Confined to the event loop.
 */
final class PermitAcquisition {

	private static final Logger logger = LoggerFactory.getLogger(PermitAcquisition.class);

	/**
	 * Number of permits that a request asks for. A host knows of permits given to others
	 * only when it asks, so with few questions it would reject what a server takes.
	 */
	private static final int MAX_ASKED = 6;

	/** Longest wait for a permit, in milliseconds. */
	private static final long MAX_WAIT_MILLIS = 1000;

	/** Part of the target latency that a request may wait for a permit. */
	private static final int WAIT_DIVISOR = 3;

	/** Prompt length that lowers the rank of a request by one priority. */
	private static final int TOKENS_PER_RANK = 8192;

	private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private final GatewayContext gateway;

	private final Admission admission;

	private final RequestMetadata metadata;

	private final EventLoopTimer timer;

	private int asked;

	PermitAcquisition(GatewayContext gateway, Admission admission, RequestMetadata metadata, EventLoopTimer timer) {
		this.gateway = gateway;
		this.admission = admission;
		this.metadata = metadata;
		this.timer = timer;
	}

	/**
	 * Returns how long the request may wait for a permit: a part of its target latency,
	 * so that it can still be answered in time. Urgent and small requests may wait
	 * longer, and so are first to get a permit when there are too few.
	 * @param remainingMillis time until the deadline, in milliseconds
	 * @return time in nanoseconds; {@link LoadBalancingRequest#NO_LIMITED_SERVER} if the
	 * request has asked often enough
	 */
	long waitNanos(long remainingMillis) {
		if (this.asked >= MAX_ASKED) {
			return LoadBalancingRequest.NO_LIMITED_SERVER;
		}
		long target = this.admission.route().targetLatencyMillis();
		long inTime = (target > 0) ? Math.min(target, remainingMillis) : remainingMillis;
		long millis = Math.max(0, Math.min(MAX_WAIT_MILLIS, inTime / WAIT_DIVISOR));
		return TimeUnit.MILLISECONDS.toNanos(millis) / (1 + rank());
	}

	// 0 for the most urgent and small requests, more for others.
	private int rank() {
		return Math.max(0, this.admission.priority()) + this.metadata.promptTokens() / TOKENS_PER_RANK;
	}

	boolean needed(SelectedServer placed) {
		return permits().limited(placed.server().incarnation());
	}

	private RequestPermits permits() {
		return this.gateway.permits();
	}

	/**
	 * Asks for a permit.
	 * @param placed the chosen server
	 * @param send sends the attempt; called when the permit is valid
	 * @param chooseAgain chooses another server; called if no permit was granted
	 */
	void acquire(SelectedServer placed, Runnable send, Runnable chooseAgain) {
		this.asked++;
		long askedNanos = this.gateway.clock().getAsLong();
		Runnable use = () -> use(placed, askedNanos, send, chooseAgain);
		permits().acquire(placed.server().incarnation(), placed.permitWaitNanos(), (decision) -> {
			long delayMillis = TimeUnit.NANOSECONDS.toMillis(decision.delayNanos() + NANOS_PER_MILLI - 1);
			log(placed, decision, delayMillis);
			if (!decision.granted()) {
				chooseAgain.run();
			}
			else if (delayMillis == 0) {
				use.run();
			}
			else {
				this.timer.schedule(use, delayMillis);
			}
		});
	}

	// A permit that was asked for before the server turned cold does not count, since its
	// owner may have issued it at the higher rate.
	private void use(SelectedServer placed, long askedNanos, Runnable send, Runnable chooseAgain) {
		boolean valid = !permits().turnedColdSince(placed.server().incarnation(), askedNanos);
		(valid ? send : chooseAgain).run();
	}

	private void log(SelectedServer placed, PermitDecision decision, long delayMillis) {
		if (!decision.granted() || delayMillis > 0) {
			logger.info(GatewayEvents.PERMIT_DECIDED, this.metadata.id().orElse("unnamed"),
					placed.server().entry().id(),
					decision.granted() ? "permit from " + delayMillis + " ms on" : "no permit",
					placed.permitWaitNanos() / NANOS_PER_MILLI, decision.nextNanos() / NANOS_PER_MILLI);
		}
	}

	/**
	 * Returns why a request is rejected for which no server was found, if the limits of
	 * all servers of its service are the reason. The returns are spread over the requests
	 * that these servers take, so that clients do not return to be rejected again.
	 * @param nowNanos monotonic time in nanoseconds
	 * @return the reason and the time after which to return
	 */
	Optional<Rejection> rejection(long nowNanos) {
		List<ServerState> usable = this.gateway.servers().usableServers(this.admission.service());
		if (usable.isEmpty() || !usable.stream().allMatch((state) -> permits().limited(state.incarnation()))) {
			return Optional.empty();
		}
		double perSecond = usable.stream()
			.mapToDouble((state) -> permits().limitPerSecond(state.incarnation()).orElse(0))
			.sum();
		if (perSecond == 0 && usable.stream().noneMatch(this::limitsRate)) {
			return Optional.of(new Rejection("its servers are brittle and have no free slot", LocalResponse
				.withJitter(LocalResponse.DEFAULT_RETRY_MILLIS, ThreadLocalRandom.current().nextDouble())));
		}
		long earliest = usable.stream()
			.mapToLong((state) -> permits().earliestNanos(state.incarnation()))
			.min()
			.orElse(0);
		long retryAfterMillis = this.gateway.returns()
			.retryAfterMillis(this.admission.service(), earliest, perSecond / permits().hosts(), rank(), nowNanos);
		return Optional.of(new Rejection("its servers take " + perSecond + " requests a second", retryAfterMillis));
	}

	private boolean limitsRate(ServerState state) {
		return permits().limitPerSecond(state.incarnation()).isPresent();
	}

	/**
	 * Why a request is rejected. Immutable.
	 *
	 * @param reason text for the log
	 * @param retryAfterMillis when the client may retry, in milliseconds
	 */
	record Rejection(String reason, long retryAfterMillis) {
	}

}
