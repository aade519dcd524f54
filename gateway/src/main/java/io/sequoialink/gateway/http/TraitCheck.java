package io.sequoialink.gateway.http;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;

import com.dynatrace.hash4j.hashing.Hashing;
import io.sequoialink.decision.crash.CrashEvidence;
import io.sequoialink.decision.crash.Involvement;
import io.sequoialink.decision.crash.TraitVerdict;
import io.sequoialink.gateway.crash.TraitCoordinator;
import io.sequoialink.gateway.place.ServerState;

/**
 * Checks whether one request has traits that crash the backend servers of its service.
 * Its traits are the parts of its prompt, apart from the last one, which is specific to
 * the request or its session, and its fingerprint. Confined to the event loop.
 */
final class TraitCheck {

	private static final Runnable NOT_WATCHED = () -> {
	};

	/**
	 * Time after the loss of a request on trial by which its crash is judged, in
	 * nanoseconds.
	 */
	private static final long JUDGEMENT_NANOS = CrashEvidence.REPORT_DELAY_NANOS + 100_000_000L;

	private final TraitCoordinator coordinator;

	private final String requestId;

	private final String service;

	private final List<PromptPart> parts;

	private final LongSupplier fingerprint;

	private final LongSupplier clock;

	private Set<Long> traits;

	private Set<Long> onTrial = Set.of();

	private Set<Long> lostOnTrial = Set.of();

	private long heldUntilNanos;

	private Runnable endWatch = NOT_WATCHED;

	TraitCheck(GatewayContext gateway, RequestMetadata metadata, String service, LongSupplier fingerprint) {
		this.coordinator = gateway.traitCoordinator();
		this.clock = gateway.clock();
		this.requestId = metadata.id().orElse("unnamed");
		this.service = service;
		this.parts = metadata.prompt().subList(0, Math.max(0, metadata.prompt().size() - 1));
		this.fingerprint = fingerprint;
	}

	/**
	 * Returns whether the request may run. A request that is on trial itself is not held.
	 * @return the verdict
	 */
	TraitVerdict verdict() {
		if (this.parts.isEmpty() || this.coordinator.idle()) {
			return TraitVerdict.FREE;
		}
		TraitVerdict verdict = this.coordinator.verdict(traits());
		if (verdict.kind() != TraitVerdict.Kind.BLOCKED && !this.lostOnTrial.isEmpty()
				&& this.clock.getAsLong() - this.heldUntilNanos < 0) {
			return new TraitVerdict(TraitVerdict.Kind.HELD, this.lostOnTrial, verdict.crashes());
		}
		boolean ownTrial = verdict.kind() == TraitVerdict.Kind.HELD && this.onTrial.containsAll(verdict.traits());
		return ownTrial ? TraitVerdict.FREE : verdict;
	}

	/**
	 * Returns whether a verdict lets no attempt start now.
	 * @return whether the request is held or blocked
	 */
	boolean blocked() {
		TraitVerdict.Kind kind = verdict().kind();
		return kind == TraitVerdict.Kind.HELD || kind == TraitVerdict.Kind.BLOCKED;
	}

	/**
	 * Returns whether the request will not run any more.
	 * @return whether its traits crash servers
	 */
	boolean permanentlyBlocked() {
		return verdict().kind() == TraitVerdict.Kind.BLOCKED;
	}

	/**
	 * Returns the reason for which the request does not run.
	 * @return text for the log
	 */
	String reason() {
		TraitVerdict verdict = verdict();
		return this.coordinator.describe(verdict.traits()) + " crashed " + verdict.crashes() + " servers, verdict "
				+ verdict.kind();
	}

	/**
	 * Returns when the client may retry the request. Clients that were rejected together
	 * return at different times.
	 * @return delay in milliseconds
	 */
	long retryAfterMillis() {
		long millis = (verdict().kind() == TraitVerdict.Kind.BLOCKED) ? LocalResponse.BLOCKED_RETRY_MILLIS
				: LocalResponse.TRIAL_RETRY_MILLIS;
		return LocalResponse.withJitter(millis, ThreadLocalRandom.current().nextDouble());
	}

	/**
	 * Called when an attempt starts.
	 * @param blocked called once if the request is blocked before its response has begun
	 */
	void attemptStarted(Runnable blocked) {
		TraitVerdict verdict = verdict();
		if (verdict.kind() == TraitVerdict.Kind.TRIAL) {
			this.onTrial = verdict.traits();
			this.coordinator.trialStarted(this.requestId, verdict);
		}
		this.endWatch.run();
		this.endWatch = this.parts.isEmpty() ? NOT_WATCHED : this.coordinator.watch(traits(), blocked);
	}

	/**
	 * Called when an attempt has ended.
	 */
	void attemptEnded() {
		this.endWatch.run();
		this.endWatch = NOT_WATCHED;
	}

	/**
	 * Called when the server has closed its connection before the response had begun. If
	 * the request was on trial, it waits for the judgement of that.
	 */
	void lost() {
		if (!this.onTrial.isEmpty()) {
			this.lostOnTrial = this.onTrial;
			this.onTrial = Set.of();
			this.heldUntilNanos = this.clock.getAsLong() + JUDGEMENT_NANOS;
		}
	}

	/**
	 * Called when a response has begun and the server goes on.
	 */
	void responseBegan() {
		attemptEnded();
		if (!this.parts.isEmpty()) {
			this.coordinator.responseBegan(this.coordinator.idle() ? partTraits() : traits());
		}
	}

	/**
	 * Called when a server crashed before the response had begun.
	 * @param server the server
	 * @param involvement how the request was involved
	 * @param crashedNanos monotonic time of the crash
	 */
	void serverCrashed(ServerState server, Involvement involvement, long crashedNanos) {
		if (!this.parts.isEmpty()) {
			nameTraits();
			this.coordinator.serverCrashed(server.incarnation(), traits(), involvement, crashedNanos);
		}
	}

	/**
	 * Called when the request is withdrawn from a server, or its connection is lost,
	 * before its response has begun.
	 * @param server the server
	 * @param involvement how the request would be involved in a crash
	 */
	void abandoned(ServerState server, Involvement involvement) {
		if (!this.parts.isEmpty()) {
			nameTraits();
			this.coordinator.requestAbandoned(server.incarnation(), traits(), involvement);
		}
	}

	private void nameTraits() {
		this.parts.forEach((part) -> this.coordinator.name(trait(part), "prompt part " + Long.toHexString(part.id())));
		this.coordinator.name(fingerprintTrait(),
				"request fingerprint " + Long.toHexString(this.fingerprint.getAsLong()));
	}

	private Set<Long> traits() {
		if (this.traits == null) {
			this.traits = partTraits();
			this.traits.add(fingerprintTrait());
		}
		return this.traits;
	}

	private Set<Long> partTraits() {
		Set<Long> ofParts = new HashSet<>();
		this.parts.forEach((part) -> ofParts.add(trait(part)));
		return ofParts;
	}

	// The services' servers run different software, so a part that crashes those of one
	// service may be harmless to another.
	private long trait(PromptPart part) {
		return Hashing.wyhashFinal4().hashStream().putString(this.service).putLong(part.id()).getAsLong();
	}

	private long fingerprintTrait() {
		return Hashing.wyhashFinal4().hashStream().putLong(this.fingerprint.getAsLong()).getAsLong();
	}

}
