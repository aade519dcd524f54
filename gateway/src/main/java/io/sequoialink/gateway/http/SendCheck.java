package io.sequoialink.gateway.http;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;

import io.sequoialink.decision.limits.CapacityDecision;
import io.sequoialink.gateway.admission.AdmissionTicket;
import io.sequoialink.gateway.fleet.ClientAccount;
import io.sequoialink.gateway.flow.Executed;
import io.sequoialink.gateway.flow.RequestFlow;
import io.sequoialink.gateway.place.LoadBalancer;
import io.sequoialink.gateway.place.LoadBalancingRequest;
import io.sequoialink.gateway.place.SelectedServer;
import io.sequoialink.gateway.place.ServerState;

/**
 * Decides whether one request may be sent now and to which server. Asked before each send
 * (the first, a retry, a resumed stream, a held request, an attempt with a larger model)
 * and again before the bytes are written. Confined to the event loop.
 *
 * <p>
 * The checks are, in this order: time left; request content blocked because of crashes; a
 * usable server whose limit permits a request; capacity. A permit is acquired only
 * afterwards, so a rejected request uses up none. A stream of which the client has a part
 * and a request that may have run are not checked for capacity, because a rejection would
 * not be true of them.
 */
final class SendCheck {

	/**
	 * Minimum time until the deadline for another attempt, in milliseconds; with less,
	 * the response would come too late.
	 */
	static final long MIN_ATTEMPT_MILLIS = 30;

	/** Time for which a permit may be used, in nanoseconds. */
	private static final long PERMIT_LIFETIME_NANOS = 1_000_000_000L;

	private final GatewayContext gateway;

	private final Admission admission;

	private final RequestDispatcher dispatcher;

	private final CrashingRequestCheck crashCheck;

	private final PermitAcquisition permits;

	private final RequestFlow flow;

	private final LongSupplier remainingMillis;

	private final StreamPatience patience = new StreamPatience();

	private final AdmissionTicket ticket;

	SendCheck(GatewayContext gateway, Admission admission, String id, RequestDispatcher dispatcher,
			CrashingRequestCheck crashCheck, PermitAcquisition permits, RequestFlow flow,
			LongSupplier remainingMillis) {
		this.gateway = gateway;
		this.admission = admission;
		this.dispatcher = dispatcher;
		this.crashCheck = crashCheck;
		this.permits = permits;
		this.flow = flow;
		this.remainingMillis = remainingMillis;
		this.ticket = new AdmissionTicket(id, admission.service(),
				admission.account().map(ClientAccount::name).orElse(""), Math.max(0, admission.priority()),
				admission.route().targetLatencyMillis());
	}

	/**
	 * Decides on the next send.
	 * @return the decision
	 */
	SendDecision decide() {
		if (!timeLeft()) {
			return new SendDecision.Reject("too little time left", LocalResponse.DEFAULT_RETRY_MILLIS);
		}
		if (this.crashCheck.blocked()) {
			return this.crashCheck.awaitsTrial(this.remainingMillis.getAsLong() - MIN_ATTEMPT_MILLIS)
					? new SendDecision.DecideLater(CrashingRequestCheck.TRIAL_WAIT_MILLIS)
					: new SendDecision.Reject(this.crashCheck.reason(), this.crashCheck.retryAfterMillis());
		}
		LoadBalancingRequest placement = this.dispatcher
			.loadBalancingRequest(this.permits.waitNanos(this.remainingMillis.getAsLong()));
		Optional<SelectedServer> placed = choose(placement);
		if (placed.isEmpty()) {
			return streamWaits() ? new SendDecision.DecideLater(StreamPatience.STEP_MILLIS)
					: rejectWithoutServer(placement);
		}
		long chosenNanos = now();
		return checkCapacity().orElseGet(() -> new SendDecision.Send(placed.get(), placement.prompt(),
				this.permits.needed(placed.get()), chosenNanos));
	}

	/**
	 * Returns whether a request that waited for a permit may be sent with it.
	 * @return false if it is to be decided on again
	 */
	boolean stillPermitted() {
		return timeLeft() && !this.crashCheck.blocked();
	}

	/**
	 * Returns why a request must not be written to the server that was chosen for it,
	 * since things may have changed while a connection was opened.
	 * @param server the server
	 * @param chosenNanos monotonic time at which it was chosen
	 * @param startedNanos monotonic time at which the attempt began, with its permit if
	 * it has one
	 * @param permitted whether a permit was acquired for it
	 * @return the reason, empty if it may be written
	 */
	Optional<Withheld> withheld(ServerState server, long chosenNanos, long startedNanos, boolean permitted) {
		if (!this.gateway.servers().stillUsable(server, chosenNanos)) {
			return Optional.of(Withheld.UNUSABLE);
		}
		// A permit is outdated if this host was suspended meanwhile or the server has
		// turned cold.
		boolean outdated = now() - startedNanos > PERMIT_LIFETIME_NANOS
				|| this.gateway.permits().turnedColdSince(server.incarnation(), startedNanos);
		if ((!permitted || outdated) && this.gateway.permits().limited(server.incarnation())) {
			return Optional.of(Withheld.LIMITED);
		}
		return (mayBeRejected() && this.gateway.admission().becameFull(server, chosenNanos))
				? Optional.of(Withheld.FULL) : Optional.empty();
	}

	boolean timeLeft() {
		return this.remainingMillis.getAsLong() >= MIN_ATTEMPT_MILLIS;
	}

	private Optional<SelectedServer> choose(LoadBalancingRequest placement) {
		LoadBalancer balancer = this.gateway.loadBalancer();
		return balancer.choose(placement)
			.or(() -> this.dispatcher.withOldVersions(placement).flatMap(balancer::choose));
	}

	private Optional<SendDecision> checkCapacity() {
		if (!mayBeRejected()) {
			return Optional.empty();
		}
		CapacityDecision decision = this.gateway.admission().decide(this.ticket, this.remainingMillis.getAsLong());
		return switch (decision.kind()) {
			case SEND -> Optional.empty();
			case HOLD -> Optional.of(new SendDecision.Hold(decision));
			case REJECT ->
				Optional.of(new SendDecision.Reject("no room at " + this.admission.service() + ": " + decision.reason(),
						returnMillis()));
		};
	}

	private boolean mayBeRejected() {
		return !this.flow.clientHasPart() && this.flow.executed() == Executed.NO;
	}

	private long returnMillis() {
		String service = this.admission.service();
		return this.gateway.returns()
			.retryAfterMillis(service, this.gateway.admission().fullNanos(service),
					this.gateway.admission().capacityPerSecond(service), Math.max(0, this.admission.priority()), now());
	}

	/**
	 * Holds the request until there is room.
	 * @param decision the decision to hold it
	 * @param decideAgain decides on the request again
	 */
	void hold(CapacityDecision decision, Runnable decideAgain) {
		this.gateway.admission().hold(this.ticket, decision, decideAgain);
	}

	/** The request has ended, so it is held no longer. */
	void ended() {
		this.gateway.admission().ended(this.ticket);
	}

	private SendDecision rejectWithoutServer(LoadBalancingRequest placement) {
		String reason = "no server of " + this.admission.service() + " for versions " + placement.versionGroup();
		long retryAfterMillis = LocalResponse.DEFAULT_RETRY_MILLIS;
		// Random, so that clients do not all return at the moment when the first server
		// accepts requests again.
		OptionalLong backoff = this.gateway.servers().backoffMillis(this.admission.service());
		if (backoff.isPresent()) {
			reason += ", the first requested back-off ends in " + backoff.getAsLong() + " ms";
			retryAfterMillis = LocalResponse.withJitter(backoff.getAsLong(), ThreadLocalRandom.current().nextDouble());
		}
		Optional<PermitAcquisition.Rejection> limited = this.permits.rejection(now());
		if (limited.isPresent()) {
			reason += ", " + limited.get().reason();
			retryAfterMillis = limited.get().retryAfterMillis();
		}
		return new SendDecision.Reject(reason, retryAfterMillis);
	}

	/**
	 * Returns whether a stream of which the client has a part waits for a server that is
	 * reached.
	 * @return whether to decide again after {@link StreamPatience#STEP_MILLIS}
	 */
	boolean streamWaits() {
		return this.flow.clientHasPart()
				&& this.remainingMillis.getAsLong() >= MIN_ATTEMPT_MILLIS + StreamPatience.STEP_MILLIS
				&& this.patience.waits(now());
	}

	/** An attempt ended without a complete response. */
	void brokenOff() {
		this.patience.brokenOff(now());
	}

	private long now() {
		return this.gateway.clock().getAsLong();
	}

	/** Why a request is not written to its server. */
	enum Withheld {

		/** The server drains, is gone, asked for a back-off, or its zone is evacuated. */
		UNUSABLE,

		/** The server takes a limited number of requests, and there is no permit. */
		LIMITED,

		/** The server has just rejected another request. */
		FULL

	}

}
