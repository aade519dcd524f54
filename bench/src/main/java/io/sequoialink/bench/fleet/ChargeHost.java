package io.sequoialink.bench.fleet;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.sequoialink.ledger.ClaimDecision;
import io.sequoialink.ledger.ClaimKey;
import io.sequoialink.ledger.RecordedOutcome;
import io.sequoialink.ledger.bills.BillPeers;
import io.sequoialink.ledger.claims.LogClaimTable;
import io.sequoialink.model.BackendServer;
import io.sequoialink.model.Effect;
import io.sequoialink.model.HostId;
import io.sequoialink.model.RequestId;
import io.sequoialink.remote.BackendException;
import io.sequoialink.remote.LogStream;
import io.sequoialink.remote.LogUnavailableException;
import io.sequoialink.remote.PlatformLog;
import io.sequoialink.remote.ServiceClient;

/**
 * One entry host of the charge experiment: claims, dispatches and records. Thread-safe.
 */
final class ChargeHost {

	private static final Duration CLAIM_TIMEOUT = Duration.ofMillis(1_500);

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

	private static final Duration FRESHNESS = Duration.ofMillis(2_000);

	private static final Duration MARGIN = Duration.ofMillis(500);

	private static final long PAUSE_MILLIS = 2_500;

	private final LogStream stream;

	private final ServiceClient services;

	private final LogStream billStream;

	private final List<ChargeHost> hosts;

	private final HostId id;

	private volatile LogClaimTable table;

	private volatile ChargeBills bills;

	private long incarnation;

	ChargeHost(PlatformLog log, ServiceClient services, List<ChargeHost> hosts) {
		this.stream = log.stream(PlatformLog.CLAIMS);
		this.billStream = log.stream(PlatformLog.BILLS);
		this.services = services;
		this.hosts = hosts;
		this.id = new HostId("host-" + hosts.size());
		restart();
	}

	ChargeBills bills() {
		return this.bills;
	}

	/** Replaces the host by an empty one. */
	synchronized void restart() {
		if (this.bills != null) {
			this.bills.kill();
		}
		this.bills = new ChargeBills(new BillPeers.Process(this.id, ++this.incarnation), this.hosts, this.billStream);
		this.table = LogClaimTable.builder(this.stream)
			.window(Duration.ofMinutes(10))
			.freshness(FRESHNESS, MARGIN)
			.longestCall(CALL_TIMEOUT.plus(FRESHNESS))
			.build();
		this.table.start();
	}

	int close() {
		this.table.close();
		return this.bills.stop();
	}

	Answer charge(ClaimKey key, RequestId request, BackendServer server, Fault fault) {
		LogClaimTable current = this.table;
		try {
			ClaimDecision decision = current.claim(key, request, "charge", CLAIM_TIMEOUT);
			if (decision instanceof ClaimDecision.Granted claim) {
				return dispatch(current, claim, request, server, fault);
			}
			if (decision instanceof ClaimDecision.Replay replay) {
				this.bills.bill(replay.outcome().request());
				return Answer.DONE;
			}
			return (decision instanceof ClaimDecision.InProgress) ? Answer.IN_PROGRESS : Answer.UNKNOWN;
		}
		catch (LogUnavailableException ex) {
			return Answer.NOT_RUN;
		}
	}

	private Answer dispatch(LogClaimTable current, ClaimDecision.Granted claim, RequestId request, BackendServer server,
			Fault fault) {
		pauseIf(fault == Fault.PAUSE);
		if (!current.mayDispatch(claim)) {
			current.recordNotDispatched(claim);
			return Answer.NOT_RUN;
		}
		try {
			ServiceClient.ServiceResponse response = this.services.call(server,
					new ServiceClient.ServiceCall(request, "POST", "/charge",
							Map.of("idempotency-key", claim.key().idempotencyKey()),
							"{}".getBytes(StandardCharsets.UTF_8), CALL_TIMEOUT));
			if (fault == Fault.KILL) {
				restart();
				return Answer.UNKNOWN;
			}
			current.recordOutcome(claim,
					new RecordedOutcome(request, response.status(), response.contentType(), response.body()));
			this.bills.bill(request);
			if (fault == Fault.KILL_AFTER) {
				restart();
			}
			return Answer.DONE;
		}
		catch (BackendException ex) {
			if (ex.effect() == Effect.NONE) {
				current.recordNotDispatched(claim);
				return Answer.NOT_RUN;
			}
			return Answer.UNKNOWN;
		}
	}

	private static void pauseIf(boolean pause) {
		try {
			Thread.sleep(Optional.of(PAUSE_MILLIS).filter((millis) -> pause).orElse(0L));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/** What the host tells its caller. */
	enum Answer {

		/** The whole outcome, now or from the record. */
		DONE,

		/** Nothing was run and nothing will be. */
		NOT_RUN,

		/** Another host may be running it. */
		IN_PROGRESS,

		/** The outcome is unknown and the work is not repeated. */
		UNKNOWN

	}

	/** What happens to the host during one charge. */
	enum Fault {

		/** Nothing. */
		NONE,

		/** It stands still between claim and dispatch until the claim has lapsed. */
		PAUSE,

		/** It is lost between the service's answer and the record of the outcome. */
		KILL,

		/** It is lost after it recorded the bill. */
		KILL_AFTER

	}

}
